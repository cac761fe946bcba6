/*
 * Carries out what SlotLeaseManager decides: writes claims, renewals and releases into the log,
 * and puts a slot to use only after its record was folded, and out of use before its release is
 * written.
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
import mustarddale.rate.SlotLeaseManager
import mustarddale.rate.SlotPlanInput
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
    private var keeper = SlotLeaseManager(records.writer)
    private var isLeaving = false
    private val duty = PeriodicDuty("slots", INTERVAL_MILLIS, ::tick)

    /** Gives all slots back; blocks until that is written or cannot be. */
    public fun releaseAll() {
        duty.close()
        synchronized(this) {
            isLeaving = true
            val held = keeper.lease.slots
            if (held.isNotEmpty()) release(held)
        }
    }

    override fun close() {
        duty.close()
    }

    private fun tick() = synchronized(this) {
        val state = store.state
        val now = clock.monotonicMillis()
        keeper = keeper.observeRenewals(state.slots, now)
        if (isLeaving || state.revision == 0L) return
        use(emptySet())
        val situation = SlotPlanInput(
            table = state.slots,
            limits = state.index.configuration.limits,
            liveInstances = liveInstances(),
            nowMillis = now,
            pinnedSlots = decisions.state.slotsInUse(now)
        )
        when (val action = keeper.nextAction(situation)) {
            is SlotAction.Claim -> claim(action)
            is SlotAction.Renew -> renew()
            is SlotAction.Release -> release(action.slots)
            null -> Unit
        }
    }

    private fun claim(action: SlotAction.Claim) {
        val written = write(SlotsClaimed(action.claims)) ?: return
        val result = keeper.afterClaim(
            action,
            store.state.slots,
            written.offset,
            written.sentAtMillis,
            leaseMillis()
        )
        keeper = result.manager
        use(result.newSlots)
    }

    private fun renew() {
        val written = write(SlotsRenewed) ?: return
        keeper = keeper.afterRenewal(store.state.slots, written.sentAtMillis, leaseMillis())
        use(emptySet())
    }

    private fun release(slots: Set<Int>) {
        keeper = keeper.afterRelease(slots)
        use(emptySet())
        write(SlotsReleased(slots.toList()))
    }

    private fun use(freshSlots: Set<Int>) {
        decisions.resize(keeper.lease, freshSlots).join()
    }

    private fun write(record: ControlRecord): WriteOutcome.Written? {
        val outcome = records.append(record, appendTimeoutMillis).join()
        return (outcome as? WriteOutcome.Written)?.takeIf { it.verdict == RecordStatus.Accepted }
    }

    private fun leaseMillis(): Long = store.state.index.configuration.limits.slotLeaseMillis

    private companion object {
        const val INTERVAL_MILLIS = 250L
    }
}
