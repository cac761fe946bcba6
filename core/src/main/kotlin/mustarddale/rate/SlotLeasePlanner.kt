/*
 * Decides which rate slots (equal shares of all rate limits, see SlotTable) this instance claims,
 * renews and releases, so that all instances hold about equally many. A slot held by another
 * instance is claimed only after this instance has seen no renewal for the lease duration and a
 * margin for clock drift.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.config.Limits
import mustarddale.control.WriterId
import mustarddale.routing.RendezvousHashing

/** A record about slots that should be appended to the log. */
public sealed interface SlotAction {
    /** Claim the slots named in [claims]. */
    public data class Claim(public val claims: List<SlotClaim>) : SlotAction

    /** Renew the lease on all slots held. */
    public data object Renew : SlotAction

    /** Stop using [slots], then append their release. */
    public data class Release(public val slots: Set<Int>) : SlotAction
}

/** The [planner] after a claim; [newSlots] are the slots won that nobody held before. */
public data class ClaimResult(public val planner: SlotLeasePlanner, public val newSlots: Set<Int>)

/**
 * The input of [SlotLeasePlanner.nextAction].
 *
 * @property liveInstances the number of running instances, this one included.
 * @property pinnedSlots slots that cannot be released because requests depend on them.
 */
public data class SlotPlanInput(
    public val table: SlotTable,
    public val limits: Limits,
    public val liveInstances: Int,
    public val nowMillis: Long,
    public val pinnedSlots: Set<Int> = emptySet()
)

/**
 * The slot leases of this instance, identified by [writer], and the renewals of all slots that it
 * has observed; immutable.
 */
public data class SlotLeasePlanner(
    public val writer: WriterId,
    public val lease: SlotLease = SlotLease(),
    private val lastRenewalSentMillis: Long = 0,
    private val observedRenewals: PersistentMap<Int, ObservedRenewal> = persistentMapOf()
) {
    /** The offset of a slot's last renewal and when this instance first saw it. */
    public data class ObservedRenewal(
        public val renewalOffset: Long,
        public val firstSeenMillis: Long
    )

    /** Records [nowMillis] as the time at which the new renewals in [table] were first seen. */
    public fun observeRenewals(table: SlotTable, nowMillis: Long): SlotLeasePlanner {
        val newRenewals = table.entries()
            .filter { observedRenewals[it.slot]?.renewalOffset != it.renewalOffset }
        if (newRenewals.isEmpty()) return this
        val observed =
            newRenewals.associate { it.slot to ObservedRenewal(it.renewalOffset, nowMillis) }
        return copy(observedRenewals = observedRenewals.putAll(observed))
    }

    /** Returns the next action, null if none is due. */
    public fun nextAction(input: SlotPlanInput): SlotAction? {
        val held = input.table.heldBy(writer)
        val target = targetSlotCount(input)
        val surplus = held.size - target
        if (surplus > 0) {
            val released = (held - input.pinnedSlots).sortedDescending().take(surplus).toSet()
            if (released.isNotEmpty()) return SlotAction.Release(released)
        }
        val claims = claimableSlots(input).take((target - held.size).coerceAtLeast(0))
        if (claims.isNotEmpty()) return SlotAction.Claim(claims)
        val hasUnusableSlots = (held - lease.usableSlots(input.nowMillis)).isNotEmpty()
        val isDue = held.isNotEmpty() && isRenewalDue(input)
        return SlotAction.Renew.takeIf { hasUnusableSlots || isDue }
    }

    /** Adds the slots won by [claim], sent at [sentAtMillis] and applied to [table] at [offset]. */
    public fun afterClaim(
        claim: SlotAction.Claim,
        table: SlotTable,
        offset: Long,
        sentAtMillis: Long,
        leaseMillis: Long
    ): ClaimResult {
        val won = claim.claims.filter { table.entry(it.slot).renewalOffset == offset }
        val slots = won.map { it.slot }.toSet()
        val isFirstClaim = lease.slots.isEmpty()
        return ClaimResult(
            planner = copy(
                lease = lease.addSlots(slots, sentAtMillis, leaseMillis),
                lastRenewalSentMillis = if (isFirstClaim) sentAtMillis else lastRenewalSentMillis
            ),
            newSlots = won.filter { it.seenRenewalOffset == SlotTable.NEVER_HELD }
                .map { it.slot }
                .toSet()
        )
    }

    /** Renews the leases of the slots held in [table] by a renewal sent at [sentAtMillis]. */
    public fun afterRenewal(
        table: SlotTable,
        sentAtMillis: Long,
        leaseMillis: Long
    ): SlotLeasePlanner = copy(
        lease = lease.replaceSlots(table.heldBy(writer), sentAtMillis, leaseMillis),
        lastRenewalSentMillis = sentAtMillis
    )

    /** Stops using [slots]; must be called before their release is appended to the log. */
    public fun afterRelease(slots: Set<Int>): SlotLeasePlanner =
        copy(lease = lease.removeSlots(slots))

    private fun targetSlotCount(input: SlotPlanInput): Int {
        val liveInstances = input.liveInstances.coerceAtLeast(1)
        return (input.limits.rateSlots + liveInstances - 1) / liveInstances
    }

    private fun claimableSlots(input: SlotPlanInput): List<SlotClaim> {
        val totalSlots = input.limits.rateSlots
        val start = RendezvousHashing.slotOf(writer.instance, totalSlots)
        return (0 until totalSlots)
            .map { input.table.entry((start + it) % totalSlots) }
            .filter { it.holder == null || isExpired(it, input) }
            .map { SlotClaim(it.slot, it.renewalOffset) }
    }

    private fun isExpired(entry: SlotEntry, input: SlotPlanInput): Boolean {
        val renewal = observedRenewals[entry.slot] ?: return false
        val waitMillis = SlotLease.takeoverDelayMillis(input.limits.slotLeaseMillis)
        return entry.holder != writer &&
            renewal.renewalOffset == entry.renewalOffset &&
            input.nowMillis - renewal.firstSeenMillis >= waitMillis
    }

    private fun isRenewalDue(input: SlotPlanInput): Boolean {
        val intervalMillis = input.limits.slotLeaseMillis / RENEWALS_PER_LEASE
        return input.nowMillis - lastRenewalSentMillis >= intervalMillis
    }

    private companion object {
        /** How many times a lease is renewed within its duration. */
        const val RENEWALS_PER_LEASE = 15
    }
}
