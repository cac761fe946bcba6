/*
 * Which instance holds which rate slot. A slot has one holder at a time. A claim names the renewal
 * that the claimant last saw; any renewal that came between makes the claim fail, so a claimant
 * that waited out the lease on its own clock can never take a slot from a holder that renewed.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable
import mustarddale.control.WriterId

/**
 * The state of one slot.
 *
 * @property holder who may use it, null if it was released.
 * @property renewalOffset the record by which it was last claimed, renewed or released.
 */
@Serializable
public data class SlotEntry(
    public val slot: Int,
    public val holder: WriterId?,
    public val renewalOffset: Long
)

/** A claim of [slot], whose last renewal that the claimant saw is [seenRenewalOffset]. */
@Serializable
public data class SlotClaim(public val slot: Int, public val seenRenewalOffset: Long)

/** All slots that were ever held. */
public data class SlotTable(private val bySlot: PersistentMap<Int, SlotEntry> = persistentMapOf()) {
    /** The state of [slot]. */
    public fun entry(slot: Int): SlotEntry = bySlot[slot] ?: SlotEntry(slot, null, NEVER_HELD)

    /** All slots that were ever held, in order. */
    public fun entries(): List<SlotEntry> = bySlot.values.sortedBy { it.slot }

    /** The slots that [writer] holds. */
    public fun heldBy(writer: WriterId): Set<Int> =
        bySlot.values.filter { it.holder == writer }.map { it.slot }.toSet()

    /** How many writers hold a slot. */
    public fun holderCount(): Int = bySlot.values.mapNotNull { it.holder }.distinct().size

    /** Gives [writer] those of the claimed slots that nobody renewed since; null for none. */
    public fun claim(claims: List<SlotClaim>, writer: WriterId, offset: Long): SlotTable? {
        val won = claims.filter { entry(it.slot).renewalOffset == it.seenRenewalOffset }
        if (won.isEmpty()) return null
        return with(won.map { SlotEntry(it.slot, writer, offset) })
    }

    /** Renews all slots that [writer] holds. */
    public fun renew(writer: WriterId, offset: Long): SlotTable =
        with(heldBy(writer).map { SlotEntry(it, writer, offset) })

    /** Frees those of [slots] that [writer] holds. */
    public fun release(slots: List<Int>, writer: WriterId, offset: Long): SlotTable = with(
        slots.filter { entry(it).holder == writer }
            .map { SlotEntry(it, holder = null, renewalOffset = offset) }
    )

    private fun with(changed: List<SlotEntry>): SlotTable =
        copy(bySlot = bySlot.putAll(changed.associateBy { it.slot }))

    public companion object {
        /** The renewal offset of a slot that nobody ever held. */
        public const val NEVER_HELD: Long = -1

        /** Returns the table with [entries]. */
        public fun of(entries: List<SlotEntry>): SlotTable =
            SlotTable(entries.associateBy { it.slot }.toPersistentMap())
    }
}
