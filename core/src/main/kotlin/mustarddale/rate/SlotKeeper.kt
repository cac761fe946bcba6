/*
 * Decides which slots this instance claims, renews and releases. A slot whose holder vanished is
 * claimed only after this instance itself has seen no renewal for the whole lease and a margin.
 */
package mustarddale.rate

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import mustarddale.config.Limits
import mustarddale.control.WriterId
import mustarddale.routing.Rendezvous

/** What to write into the log about slots. */
public sealed interface SlotAction {
    /** Claim slots. */
    public data class Claim(public val claims: List<SlotClaim>) : SlotAction

    /** Renew the lease of all slots held. */
    public data object Renew : SlotAction

    /** Stop using [slots], then release them. */
    public data class Release(public val slots: Set<Int>) : SlotAction
}

/** A keeper after a claim; [freshSlots] of the slots gained were never held by anyone. */
public data class ClaimResult(public val keeper: SlotKeeper, public val freshSlots: Set<Int>)

/** Where slots stand when [SlotKeeper] plans. */
public data class SlotSituation(
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
public data class SlotKeeper(
    public val writer: WriterId,
    public val lease: SlotLease = SlotLease(),
    private val lastRenewalSentMillis: Long = 0,
    private val seen: PersistentMap<Int, Sighting> = persistentMapOf()
) {
    /** When a renewal was first seen. */
    public data class Sighting(public val renewalOffset: Long, public val atMillis: Long)

    /** Notes the renewals in [table]. */
    public fun observe(table: SlotTable, nowMillis: Long): SlotKeeper {
        val fresh = table.entries().filter { seen[it.slot]?.renewalOffset != it.renewalOffset }
        if (fresh.isEmpty()) return this
        val sightings = fresh.associate { it.slot to Sighting(it.renewalOffset, nowMillis) }
        return copy(seen = seen.putAll(sightings))
    }

    /** Returns the next action, null if there is nothing to do. */
    public fun plan(situation: SlotSituation): SlotAction? {
        val held = situation.table.heldBy(writer)
        val target = targetOf(situation)
        val surplus = held.size - target
        if (surplus > 0) {
            val given = (held - situation.pinnedSlots).sortedDescending().take(surplus).toSet()
            if (given.isNotEmpty()) return SlotAction.Release(given)
        }
        val claims = claimable(situation).take((target - held.size).coerceAtLeast(0))
        if (claims.isNotEmpty()) return SlotAction.Claim(claims)
        val isUnused = (held - lease.usable(situation.nowMillis)).isNotEmpty()
        val isDue = held.isNotEmpty() && isRenewalDue(situation)
        return SlotAction.Renew.takeIf { isUnused || isDue }
    }

    /** Takes in that [claim], sent at [sentAtMillis], was folded at [offset] into [table]. */
    public fun claimed(
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
            keeper = copy(
                lease = lease.add(slots, sentAtMillis, leaseMillis),
                lastRenewalSentMillis = if (isFirst) sentAtMillis else lastRenewalSentMillis
            ),
            freshSlots = won.filter { it.seenRenewalOffset == SlotTable.NEVER_HELD }
                .map { it.slot }
                .toSet()
        )
    }

    /** Takes in that a renewal, sent at [sentAtMillis], was folded into [table]. */
    public fun renewed(table: SlotTable, sentAtMillis: Long, leaseMillis: Long): SlotKeeper = copy(
        lease = lease.hold(table.heldBy(writer), sentAtMillis, leaseMillis),
        lastRenewalSentMillis = sentAtMillis
    )

    /** Stops using [slots]; only then may their release be written. */
    public fun released(slots: Set<Int>): SlotKeeper = copy(lease = lease.drop(slots))

    private fun targetOf(situation: SlotSituation): Int {
        val live = situation.liveInstances.coerceAtLeast(1)
        return (situation.limits.rateSlots + live - 1) / live
    }

    private fun claimable(situation: SlotSituation): List<SlotClaim> {
        val total = situation.limits.rateSlots
        val start = Rendezvous.slot(writer.instance, total)
        return (0 until total)
            .map { situation.table.entry((start + it) % total) }
            .filter { it.holder == null || hasLapsed(it, situation) }
            .map { SlotClaim(it.slot, it.renewalOffset) }
    }

    private fun hasLapsed(entry: SlotEntry, situation: SlotSituation): Boolean {
        val sighting = seen[entry.slot] ?: return false
        val waitMillis = SlotLease.takeoverMillis(situation.limits.slotLeaseMillis)
        return entry.holder != writer &&
            sighting.renewalOffset == entry.renewalOffset &&
            situation.nowMillis - sighting.atMillis >= waitMillis
    }

    private fun isRenewalDue(situation: SlotSituation): Boolean {
        val intervalMillis = situation.limits.slotLeaseMillis / RENEWALS_PER_LEASE
        return situation.nowMillis - lastRenewalSentMillis >= intervalMillis
    }

    private companion object {
        const val RENEWALS_PER_LEASE = 15
    }
}
