/*
 * Carries out what SlotKeeper decides: writes claims, renewals and releases into the log, and puts
 * a slot to use only after its record was folded, and out of use before its release is written.
 */
package mustarddale.instance.decision

import java.util.concurrent.atomic.AtomicReference
import mustarddale.control.ControlRecord.SlotsClaimed
import mustarddale.control.ControlRecord.SlotsReleased
import mustarddale.control.ControlRecord.SlotsRenewed
import mustarddale.control.Verdict
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.instance.log.WriteOutcome
import mustarddale.rate.SlotAction
import mustarddale.rate.SlotKeeper
import mustarddale.rate.SlotLease
import mustarddale.rate.SlotSituation
import mustarddale.rate.SlotTable
import mustarddale.time.Clock

/** Keeps this instance's fair part of the rate slots. */
public class SlotDuty(
    private val store: ControlStore,
    private val records: RecordWriter,
    private val decisions: DecisionDuty,
    private val clock: Clock,
    private val appendTimeoutMillis: Long,
    private val liveInstances: () -> Int
) : AutoCloseable {
    private val keeper = AtomicReference(SlotKeeper(records.writer))
    private var lease = SlotLease()
    private var lastRenewalSentMillis = Long.MIN_VALUE / 2
    private var isLeaving = false
    private val duty = PeriodicDuty("slots", INTERVAL_MILLIS, ::tick)

    /** Gives all slots back; blocks until that is written or cannot be. */
    public fun releaseAll() {
        duty.close()
        synchronized(this) {
            isLeaving = true
            val held = lease.slots
            if (held.isNotEmpty()) release(held)
        }
    }

    override fun close() {
        duty.close()
    }

    private fun tick() = synchronized(this) {
        val state = store.state
        val now = clock.monotonicMillis()
        keeper.updateAndGet { it.observe(state.slots, now) }
        if (isLeaving || state.revision == 0L) return
        decisions.resize(lease, unheldBefore = 0)
        val situation = SlotSituation(
            table = state.slots,
            limits = state.index.configuration.limits,
            liveInstances = liveInstances(),
            lastRenewalSentMillis = lastRenewalSentMillis,
            nowMillis = now,
            pinnedSlots = decisions.state.slotsInUse(now)
        )
        when (val action = keeper.get().plan(situation)) {
            is SlotAction.Claim -> claim(action, state.slots)
            is SlotAction.Renew -> renew()
            is SlotAction.Release -> release(action.slots)
            null -> Unit
        }
    }

    private fun claim(action: SlotAction.Claim, before: SlotTable) {
        val written = write(SlotsClaimed(action.claims)) ?: return
        val now = store.state.slots
        val won = action.claims.map { it.slot }
            .filter { now.entry(it).renewalOffset == written.offset }
            .toSet()
        val unheldBefore = won.count { before.entry(it).renewalOffset == SlotTable.NEVER_HELD }
        lease = lease.add(won, written.sentAtMillis, leaseMillis())
        decisions.resize(lease, unheldBefore)
    }

    private fun renew() {
        val written = write(SlotsRenewed) ?: return
        lastRenewalSentMillis = written.sentAtMillis
        val held = store.state.slots.heldBy(records.writer)
        lease = lease.hold(held, written.sentAtMillis, leaseMillis())
        decisions.resize(lease, unheldBefore = 0)
    }

    private fun release(slots: Set<Int>) {
        lease = lease.drop(slots)
        decisions.resize(lease, unheldBefore = 0).join()
        write(SlotsReleased(slots.toList()))
    }

    private fun write(record: mustarddale.control.ControlRecord): WriteOutcome.Written? {
        val outcome = records.append(record, appendTimeoutMillis).join()
        return (outcome as? WriteOutcome.Written)?.takeIf { it.verdict == Verdict.Accepted }
    }

    private fun leaseMillis(): Long = store.state.index.configuration.limits.slotLeaseMillis

    private companion object {
        const val INTERVAL_MILLIS = 250L
    }
}
