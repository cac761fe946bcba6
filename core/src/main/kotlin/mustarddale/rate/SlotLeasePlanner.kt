/*
 * Decides which slots this instance claims, renews and releases. A slot whose holder vanished is
 * claimed only after this instance itself has seen no renewal for the whole lease and a margin.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.config.Limits
import mustarddale.control.WriterId
import mustarddale.routing.RendezvousHashing

/** What to write into the log about slots. */
public sealed interface SlotAction {
    /** Claim slots. */
    public data class Claim(public val claims: List<SlotClaim>) : SlotAction

    /** Renew the lease of all slots held. */
    public data object Renew : SlotAction

    /** Stop using [slots], then release them. */
    public data class Release(public val slots: Set<Int>) : SlotAction
}

/** A keeper after a claim; [newSlots] of the slots gained were never held by anyone. */
public data class ClaimResult(public val planner: SlotLeasePlanner, public val newSlots: Set<Int>)

/** Where slots stand when [SlotLeasePlanner] plans. */
public data class SlotPlanInput(
    public val table: SlotTable,
    public val limits: Limits,
    public val liveInstances: Int,
    public val nowMillis: Long,
    public val pinnedSlots: Set<Int> = emptySet()
)

/**
 * The slots of the instance that writes as [writer], and when it first saw the last renewal of each
 * slot of others.
 */
public data class SlotLeasePlanner(
    public val writer: WriterId,
    public val lease: SlotLease = SlotLease(),
    private val lastRenewalSentMillis: Long = 0,
    private val seen: PersistentMap<Int, ObservedRenewal> = persistentMapOf()
) {
    /** When a renewal was first seen. */
    public data class ObservedRenewal(public val renewalOffset: Long, public val atMillis: Long)

    /** Notes the renewals in [table]. */
    public fun observeRenewals(table: SlotTable, nowMillis: Long): SlotLeasePlanner {
        val fresh = table.entries().filter { seen[it.slot]?.renewalOffset != it.renewalOffset }
        if (fresh.isEmpty()) return this
        val sightings = fresh.associate { it.slot to ObservedRenewal(it.renewalOffset, nowMillis) }
        return copy(seen = seen.putAll(sightings))
    }

    /** Returns the next action, null if there is nothing to do. */
    public fun nextAction(situation: SlotPlanInput): SlotAction? {
        val held = situation.table.heldBy(writer)
        val target = targetOf(situation)
        val surplus = held.size - target
        if (surplus > 0) {
            val given = (held - situation.pinnedSlots).sortedDescending().take(surplus).toSet()
            if (given.isNotEmpty()) return SlotAction.Release(given)
        }
        val claims = claimable(situation).take((target - held.size).coerceAtLeast(0))
        if (claims.isNotEmpty()) return SlotAction.Claim(claims)
        val isUnused = (held - lease.usableSlots(situation.nowMillis)).isNotEmpty()
        val isDue = held.isNotEmpty() && isRenewalDue(situation)
        return SlotAction.Renew.takeIf { isUnused || isDue }
    }

    /** Takes in that [claim], sent at [sentAtMillis], was folded at [offset] into [table]. */
    public fun afterClaim(
        claim: SlotAction.Claim,
        table: SlotTable,
        offset: Long,
        sentAtMillis: Long,
        leaseMillis: Long
    ): ClaimResult {
        val won = claim.claims.filter { table.entry(it.slot).renewalOffset == offset }
        val slots = won.map { it.slot }.toSet()
        val isFirst = lease.slots.isEmpty()
        return ClaimResult(
            planner = copy(
                lease = lease.addSlots(slots, sentAtMillis, leaseMillis),
                lastRenewalSentMillis = if (isFirst) sentAtMillis else lastRenewalSentMillis
            ),
            newSlots = won.filter { it.seenRenewalOffset == SlotTable.NEVER_HELD }
                .map { it.slot }
                .toSet()
        )
    }

    /** Takes in that a renewal, sent at [sentAtMillis], was folded into [table]. */
    public fun afterRenewal(
        table: SlotTable,
        sentAtMillis: Long,
        leaseMillis: Long
    ): SlotLeasePlanner = copy(
        lease = lease.replaceSlots(table.heldBy(writer), sentAtMillis, leaseMillis),
        lastRenewalSentMillis = sentAtMillis
    )

    /** Stops using [slots]; only then may their release be written. */
    public fun afterRelease(slots: Set<Int>): SlotLeasePlanner =
        copy(lease = lease.removeSlots(slots))

    private fun targetOf(situation: SlotPlanInput): Int {
        val live = situation.liveInstances.coerceAtLeast(1)
        return (situation.limits.rateSlots + live - 1) / live
    }

    private fun claimable(situation: SlotPlanInput): List<SlotClaim> {
        val total = situation.limits.rateSlots
        val start = RendezvousHashing.slotOf(writer.instance, total)
        return (0 until total)
            .map { situation.table.entry((start + it) % total) }
            .filter { it.holder == null || hasLapsed(it, situation) }
            .map { SlotClaim(it.slot, it.renewalOffset) }
    }

    private fun hasLapsed(entry: SlotEntry, situation: SlotPlanInput): Boolean {
        val sighting = seen[entry.slot] ?: return false
        val waitMillis = SlotLease.takeoverDelayMillis(situation.limits.slotLeaseMillis)
        return entry.holder != writer &&
            sighting.renewalOffset == entry.renewalOffset &&
            situation.nowMillis - sighting.atMillis >= waitMillis
    }

    private fun isRenewalDue(situation: SlotPlanInput): Boolean {
        val intervalMillis = situation.limits.slotLeaseMillis / RENEWALS_PER_LEASE
        return situation.nowMillis - lastRenewalSentMillis >= intervalMillis
    }

    private companion object {
        const val RENEWALS_PER_LEASE = 15
    }
}
