/*
 * Carries out the decisions of SlotLeasePlanner: writes claims, renewals and releases of rate slots
 * into the log. A rate slot is an equal share of every client account's rate. It is used only after
 * its claim has been read back from the log, and no longer when its release is about to be written,
 * so that no two instances use it at the same time.
 */
package mustarddale.instance.decision

import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.SlotsClaimed
import mustarddale.control.ControlRecord.SlotsReleased
import mustarddale.control.ControlRecord.SlotsRenewed
import mustarddale.control.RecordStatus
import mustarddale.instance.duty.PeriodicDuty
import mustarddale.instance.log.ControlStore
import mustarddale.instance.log.RecordWriter
import mustarddale.instance.log.WriteOutcome
import mustarddale.rate.SlotAction
import mustarddale.rate.SlotLeasePlanner
import mustarddale.rate.SlotPlanInput
import mustarddale.time.Clock

/**
 * Leases this instance's part of the rate slots, which are divided equally among live instances.
 *
 * @param liveInstanceCount returns the number of live instances, including this one.
 */
public class SlotLeaseManager(
    private val store: ControlStore,
    private val recordWriter: RecordWriter,
    private val dispatchLoop: DispatchLoop,
    private val clock: Clock,
    private val appendTimeoutMillis: Long,
    private val liveInstanceCount: () -> Int
) : AutoCloseable {
    private var planner = SlotLeasePlanner(recordWriter.writer)
    private var isLeaving = false
    private val worker = PeriodicDuty("slots", TICK_INTERVAL_MILLIS, ::tick)

    /** Releases all slots; blocks until the release is written or has failed. */
    public fun releaseAll() {
        worker.close()
        synchronized(this) {
            isLeaving = true
            val held = planner.lease.slots
            if (held.isNotEmpty()) release(held)
        }
    }

    override fun close() {
        worker.close()
    }

    private fun tick() = synchronized(this) {
        val state = store.state
        val nowMillis = clock.monotonicMillis()
        planner = planner.observeRenewals(state.slots, nowMillis)
        if (isLeaving || state.revision == 0L) return
        applyLease(emptySet())
        val planInput = SlotPlanInput(
            table = state.slots,
            limits = state.index.configuration.limits,
            liveInstances = liveInstanceCount(),
            nowMillis = nowMillis,
            pinnedSlots = dispatchLoop.state.slotsInUse(nowMillis)
        )
        when (val action = planner.nextAction(planInput)) {
            is SlotAction.Claim -> claim(action)
            is SlotAction.Renew -> renew()
            is SlotAction.Release -> release(action.slots)
            null -> Unit
        }
    }

    private fun claim(action: SlotAction.Claim) {
        val written = append(SlotsClaimed(action.claims)) ?: return
        val result = planner.afterClaim(
            action,
            store.state.slots,
            written.offset,
            written.sentAtMillis,
            leaseMillis()
        )
        planner = result.planner
        applyLease(result.newSlots)
    }

    private fun renew() {
        val written = append(SlotsRenewed) ?: return
        planner = planner.afterRenewal(store.state.slots, written.sentAtMillis, leaseMillis())
        applyLease(emptySet())
    }

    private fun release(slots: Set<Int>) {
        planner = planner.afterRelease(slots)
        applyLease(emptySet())
        append(SlotsReleased(slots.toList()))
    }

    private fun applyLease(newSlots: Set<Int>) {
        dispatchLoop.applyLease(planner.lease, newSlots).join()
    }

    private fun append(record: ControlRecord): WriteOutcome.Written? {
        val outcome = recordWriter.append(record, appendTimeoutMillis).join()
        return (outcome as? WriteOutcome.Written)?.takeIf { it.status == RecordStatus.Accepted }
    }

    private fun leaseMillis(): Long = store.state.index.configuration.limits.slotLeaseMillis

    private companion object {
        const val TICK_INTERVAL_MILLIS = 250L
    }
}
