/*
 * The work of the leader: shares of the accounts' rates (ShareController), and models and adapters on
 * engines (PlacementController). All of it can be rebuilt from the instances' reports and the engines',
 * so a new leader needs nothing but the last leadership record. It runs on the event loop.
 */
package mustarddale.instance.serving.leader

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.leadership.LastOrder
import mustarddale.serving.leadership.LeaderRecord
import mustarddale.time.Clock

/** Leads while [leadership] says so. */
public class LeaderController(
    private val scope: CoroutineScope,
    private val state: ServingState,
    private val leadership: LeaderElector,
    private val orders: EngineControlClient,
    private val holder: String,
    private val orderLeaseMillis: Long,
    private val clock: Clock
) {
    private var newest: Leadership? = null

    init {
        leadership.onWon = { begin(it) }
        leadership.describe = ::describe
        leadership.onRecorded = { newest?.shares?.recordedHolders = it.shareHolders }
    }

    /** Counts changes of engines' contents; grows with each. */
    public val contentsVersion: Long get() = newest?.board?.version ?: 0

    /** Called when engines' contents have changed, or an instance has its first shares. */
    public var onStateChanged: () -> Unit = {}

    /** Takes in a report; returns false if this instance does not lead. */
    public fun report(report: LeaderMessage.Report): Boolean {
        val current = current() ?: return false
        val nowMillis = clock.monotonicMillis()
        current.shares.report(report, nowMillis)
        current.placement.report(report, nowMillis)
        return true
    }

    /**
     * Returns what to tell [instance], with what has changed at engines since [seenVersion]; null
     * if this instance does not lead.
     */
    public fun stateFor(instance: String, answers: Long, seenVersion: Long): LeaderMessage.State? {
        val current = current() ?: return null
        val grant = current.shares.grantFor(instance)
        val nowMillis = clock.monotonicMillis()
        return LeaderMessage.State(
            term = current.won.term,
            answers = answers,
            sentMillis = nowMillis,
            revision = grant?.revision ?: 0,
            shares = grant?.shares.orEmpty(),
            shareTotal = ShareController.GRANTED_PART,
            shareLeaseMillis = ShareController.SHARE_LEASE_MILLIS,
            instances = current.shares.holderCount,
            engines = current.board.since(seenVersion, nowMillis)
        )
    }

    /** Takes tokens out of the pool; null if this instance does not lead. */
    public fun lend(wanted: LeaderMessage.TokensWanted): LeaderMessage.TokensGiven? =
        current()?.shares?.lend(wanted)

    private fun current(): Leadership? {
        val term = leadership.ownTerm()
        val known = newest ?: return null
        if (known.won.term == term) return known
        known.shares.ended()
        return null
    }

    private fun begin(won: LeadershipTerm) {
        newest?.job?.cancel()
        newest = Leadership(won).also { it.start() }
    }

    private fun describe(record: LeaderRecord, before: LeaderRecord?): LeaderRecord {
        val current = current()
        return record.copy(
            lastOrder = if (current == null) {
                LastOrder.before(before, record.instance)
            } else {
                current.placement.lastOrder()
            },
            shareHolders = current?.shares?.holders() ?: before?.shareHolders.orEmpty()
        )
    }

    private inner class Leadership(val won: LeadershipTerm) {
        val board = EngineContentsRegistry { onStateChanged() }
        val shares = ShareController(won, state, clock) { onStateChanged() }
        val placement = PlacementController(
            scope,
            won,
            state,
            orders,
            board,
            holder,
            orderLeaseMillis,
            clock,
            mayOrder = { current() === this && leadership.mayOrder() },
            onFenced = leadership::fenced
        )
        lateinit var job: Job
            private set

        fun start() {
            job = scope.launch {
                while (true) {
                    if (current() === this@Leadership) tick()
                    delay(TICK_MILLIS)
                }
            }
        }

        private fun tick() {
            val nowMillis = clock.monotonicMillis()
            shares.tick(nowMillis)
            placement.tick(nowMillis)
        }
    }

    private companion object {
        /** Loads take 400 ms and more, so orders need not be quicker; urgent ones do not wait. */
        const val TICK_MILLIS = 50L
    }
}
