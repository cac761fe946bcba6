package mustarddale.session

import mustarddale.control.ControlRecord
import mustarddale.control.ControlRecord.SlotsClaimed
import mustarddale.control.ControlRecord.SlotsRenewed
import mustarddale.control.ControlState
import mustarddale.control.FakeLog
import mustarddale.control.FoldResult
import mustarddale.control.RecordStatus
import mustarddale.control.WriterId
import mustarddale.dispatch.AdmissionDecision
import mustarddale.dispatch.DispatchRequest
import mustarddale.dispatch.DispatchState
import mustarddale.rate.SlotAction
import mustarddale.rate.SlotLeasePlanner
import mustarddale.rate.SlotPlanInput
import mustarddale.routing.LoadReport

/** A simulated instance that logs its decisions to [lines], on the virtual clock of [log]. */
class SessionNode(
    val name: String,
    private val log: FakeLog,
    private val lines: MutableList<String>
) {
    private val writer = WriterId(name, "run-1")
    private var leasePlanner = SlotLeasePlanner(writer)
    var state = ControlState.EMPTY
        private set
    var dispatch = DispatchState()
        private set

    fun trace(text: String) {
        lines += "%8d %-3s %s".format(log.nowMillis, name, text)
    }

    fun append(record: ControlRecord) {
        val offset = log.append(writer, record).offset
        trace("appends #$offset ${record::class.simpleName}")
    }

    fun read() {
        log.records.drop(state.nextOffset.toInt()).forEach { record ->
            val folded = state.fold(record)
            state = folded.state
            if (folded.envelope?.writer == writer) logStatus(record.offset, folded)
        }
        dispatch = dispatch.applyControlState(state, log.nowMillis)
    }

    fun updateSlots(liveInstances: Int) {
        val nowMillis = log.nowMillis
        read()
        leasePlanner = leasePlanner.observeRenewals(state.slots, nowMillis)
        val limits = state.index.configuration.limits
        when (
            val action = leasePlanner.nextAction(
                SlotPlanInput(state.slots, limits, liveInstances, nowMillis)
            )
        ) {
            is SlotAction.Claim -> claim(action)
            is SlotAction.Release -> trace("would release slots ${action.slots}")
            is SlotAction.Renew -> renew()
            null -> trace("takes no action on slots")
        }
    }

    fun applyReport(report: LoadReport) {
        dispatch = dispatch.withServers { it.applyReport(report, log.nowMillis) }
        trace("receives report of ${report.server}: ${report.warmth} ready ${report.ready}")
    }

    fun admit(request: DispatchRequest) {
        val result = dispatch.admit(request, log.nowMillis, randomValue = 0)
        dispatch = result.state
        val decision = result.decision
        val text =
            if (decision is AdmissionDecision.Refused) decision.refusal.kind.code else "$decision"
        trace(
            "${request.account} requests ${request.model} (${request.reservedTokens} tokens): $text"
        )
    }

    private fun claim(action: SlotAction.Claim) {
        val sentAtMillis = log.nowMillis
        append(SlotsClaimed(action.claims))
        read()
        val offset = log.records.last().offset
        val leaseMillis = state.index.configuration.limits.slotLeaseMillis
        val result = leasePlanner.afterClaim(action, state.slots, offset, sentAtMillis, leaseMillis)
        leasePlanner = result.planner
        dispatch = dispatch.applyLease(leasePlanner.lease, result.newSlots, log.nowMillis)
        trace("holds slots ${leasePlanner.lease.slots.sorted()}")
    }

    private fun renew() {
        val sentAtMillis = log.nowMillis
        append(SlotsRenewed)
        read()
        val leaseMillis = state.index.configuration.limits.slotLeaseMillis
        leasePlanner = leasePlanner.afterRenewal(state.slots, sentAtMillis, leaseMillis)
        dispatch = dispatch.applyLease(leasePlanner.lease, emptySet(), log.nowMillis)
        trace("renews slots ${leasePlanner.lease.slots.sorted()}")
    }

    private fun logStatus(offset: Long, folded: FoldResult) {
        val status = folded.status
        val text = when (status) {
            is RecordStatus.Rejected -> with(status.refusal) { "rejected, ${kind.code}: $message" }

            else -> status::class.simpleName.orEmpty().lowercase()
        }
        trace("reads #$offset $text (revision ${folded.state.revision})")
    }
}
