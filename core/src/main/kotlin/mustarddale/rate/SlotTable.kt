/*
 * Maps each rate slot to its holder. A rate slot is an equal share of every client account's rate
 * limit, held by at most one instance. A claim names the last renewal that the claimant saw and
 * fails if the slot was renewed since, so a claimant that waited for the lease to expire on its own
 * clock cannot take a slot from a holder that renewed it.
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
 * @property holder the run of an instance that may use the slot, null if it is free.
 * @property renewalOffset log offset of the record that last claimed, renewed or released the slot.
 */
@Serializable
public data class SlotEntry(
    public val slot: Int,
    public val holder: WriterId?,
    public val renewalOffset: Long
)

/** A claim of [slot], valid only if its last renewal is still at [seenRenewalOffset]. */
@Serializable
public data class SlotClaim(public val slot: Int, public val seenRenewalOffset: Long)

/** The state of all slots that were ever claimed; immutable. */
public data class SlotTable(private val bySlot: PersistentMap<Int, SlotEntry> = persistentMapOf()) {
    /** Returns the state of [slot]. */
    public fun entry(slot: Int): SlotEntry = bySlot[slot] ?: SlotEntry(slot, null, NEVER_HELD)

    /** Returns all slots that were ever claimed, in order of their numbers. */
    public fun entries(): List<SlotEntry> = bySlot.values.sortedBy { it.slot }

    /** Returns the slots that [writer] holds. */
    public fun heldBy(writer: WriterId): Set<Int> =
        bySlot.values.filter { it.holder == writer }.map { it.slot }.toSet()

    /** Returns the number of writers that hold at least one slot. */
    public fun holderCount(): Int = bySlot.values.mapNotNull { it.holder }.distinct().size

    /** Assigns to [writer] the claimed slots not renewed since it saw them; null if none. */
    public fun claim(claims: List<SlotClaim>, writer: WriterId, offset: Long): SlotTable? {
        val won = claims.filter { entry(it.slot).renewalOffset == it.seenRenewalOffset }
        if (won.isEmpty()) return null
        return withEntries(won.map { SlotEntry(it.slot, writer, offset) })
    }

    /** Renews the lease on all slots that [writer] holds. */
    public fun renew(writer: WriterId, offset: Long): SlotTable =
        withEntries(heldBy(writer).map { SlotEntry(it, writer, offset) })

    /** Releases those of [slots] that [writer] holds. */
    public fun release(slots: List<Int>, writer: WriterId, offset: Long): SlotTable = withEntries(
        slots.filter { entry(it).holder == writer }
            .map { SlotEntry(it, holder = null, renewalOffset = offset) }
    )

    private fun withEntries(changed: List<SlotEntry>): SlotTable =
        copy(bySlot = bySlot.putAll(changed.associateBy { it.slot }))

    public companion object {
        /** The renewal offset of a slot that was never claimed. */
        public const val NEVER_HELD: Long = -1

        /** Creates a table from [entries]. */
        public fun of(entries: List<SlotEntry>): SlotTable =
            SlotTable(entries.associateBy { it.slot }.toPersistentMap())
    }
}
