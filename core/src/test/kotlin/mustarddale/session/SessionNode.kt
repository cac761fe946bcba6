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

/** One instance of a session: its decisions, on the virtual clock of the session's log. */
class SessionNode(
    val name: String,
    private val log: FakeLog,
    private val lines: MutableList<String>
) {
    private val writer = WriterId(name, "run-1")
    private var keeper = SlotLeasePlanner(writer)
    var state = ControlState.EMPTY
        private set
    var dispatch = DispatchState()
        private set

    fun say(text: String) {
        lines += "%8d %-3s %s".format(log.nowMillis, name, text)
    }

    fun append(record: ControlRecord) {
        val offset = log.append(writer, record).offset
        say("appends #$offset ${record::class.simpleName}")
    }

    fun read() {
        log.records.drop(state.nextOffset.toInt()).forEach { record ->
            val folded = state.fold(record)
            state = folded.state
            if (folded.envelope?.writer == writer) tellVerdict(record.offset, folded)
        }
        dispatch = dispatch.applyControlState(state, log.nowMillis)
    }

    fun keepSlots(liveInstances: Int) {
        val now = log.nowMillis
        read()
        keeper = keeper.observeRenewals(state.slots, now)
        val limits = state.index.configuration.limits
        when (
            val action = keeper.nextAction(
                SlotPlanInput(state.slots, limits, liveInstances, now)
            )
        ) {
            is SlotAction.Claim -> claim(action)
            is SlotAction.Release -> say("would release ${action.slots}")
            is SlotAction.Renew -> renew()
            null -> say("leaves the slots as they are")
        }
    }

    fun report(report: LoadReport) {
        dispatch = dispatch.withServers { it.applyReport(report, log.nowMillis) }
        say("hears from ${report.server}: ${report.warmth} ready ${report.ready}")
    }

    fun ask(work: DispatchRequest) {
        val decided = dispatch.admit(work, log.nowMillis, randomValue = 0)
        dispatch = decided.state
        val decision = decided.decision
        val text =
            if (decision is AdmissionDecision.Refused) decision.refusal.kind.code else "$decision"
        say("${work.account} asks for ${work.model} (${work.reservedTokens} tokens): $text")
    }

    private fun claim(action: SlotAction.Claim) {
        val sentAt = log.nowMillis
        append(SlotsClaimed(action.claims))
        read()
        val offset = log.records.last().offset
        val leaseMillis = state.index.configuration.limits.slotLeaseMillis
        val result = keeper.afterClaim(action, state.slots, offset, sentAt, leaseMillis)
        keeper = result.planner
        dispatch = dispatch.applyLease(keeper.lease, result.newSlots, log.nowMillis)
        say("holds slots ${keeper.lease.slots.sorted()}")
    }

    private fun renew() {
        val sentAt = log.nowMillis
        append(SlotsRenewed)
        read()
        val leaseMillis = state.index.configuration.limits.slotLeaseMillis
        keeper = keeper.afterRenewal(state.slots, sentAt, leaseMillis)
        dispatch = dispatch.applyLease(keeper.lease, emptySet(), log.nowMillis)
        say("renewed slots ${keeper.lease.slots.sorted()}")
    }

    private fun tellVerdict(offset: Long, folded: FoldResult) {
        val verdict = folded.status
        val text = when (verdict) {
            is RecordStatus.Rejected -> with(verdict.refusal) { "rejected, ${kind.code}: $message" }

            else -> verdict::class.simpleName.orEmpty().lowercase()
        }
        say("reads #$offset $text (revision ${folded.state.revision})")
    }
}
