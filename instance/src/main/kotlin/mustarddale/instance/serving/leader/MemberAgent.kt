/*
 * This instance's side towards the leader: what it reports, and what it takes over. It runs on the
 * event loop.
 */
package mustarddale.instance.serving.leader

import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.feed.FeedNews
import mustarddale.instance.serving.feed.KeyedFeed
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.quota.LoneShares
import mustarddale.time.Clock

/** Reports the beliefs in [state] as [instance], in its process [run]. */
public class MemberAgent(
    private val state: ServingState,
    private val backends: KeyedFeed,
    private val instance: String,
    private val run: String,
    private val clock: Clock
) {
    private var term = NO_TERM
    private var revision = 0L
    private var shares = emptyMap<String, Double>()
    private var shareTotal = 1.0
    private var heardMillis: Long? = null
    private val loneShares = LoneShares()
    private var sharesUntilMillis = Long.MIN_VALUE
    private val sentMillis = LinkedHashMap<Long, Long>()
    private var number = 0L

    /** Returns the next report. */
    public fun report(): LeaderMessage.Report {
        number++
        sentMillis[number] = clock.monotonicMillis()
        while (sentMillis.size > MAX_OPEN_REPORTS) sentMillis.remove(sentMillis.keys.first())
        return LeaderMessage.Report(
            instance = instance,
            run = run,
            number = number,
            term = term,
            confirmedRevision = revision,
            shares = shares,
            wantedTokens = state.quota.takeWanted(),
            backendOffset = backends.offset,
            heardMillis = heardMillis,
            demand = state.takeDemand().map { (service, samples) ->
                ServiceDemand(
                    service,
                    samples.map {
                        ModelSample(
                            it.wanted.model,
                            it.wanted.adapter,
                            it.requests,
                            it.tokens,
                            it.waiting
                        )
                    }
                )
            }
        )
    }

    /** Takes over what the leader tells; messages of an earlier leader are ignored. */
    public fun apply(message: LeaderMessage.State) {
        if (message.term < term) return
        val nowMillis = clock.monotonicMillis()
        if (message.term > term) {
            state.residency.clear()
            term = message.term
            revision = 0
        }
        heardMillis = message.sentMillis
        loneShares.heard(nowMillis)
        state.residency.heard(nowMillis)
        message.backends?.let { news ->
            backends.relayed(
                FeedNews(
                    news.fromOffset,
                    news.records.map {
                        it.bytes
                    },
                    news.ageMillis
                )
            )
        }
        message.engines.forEach { engine ->
            val expectedAt = engine.expected.mapValues { nowMillis + it.value }
            state.residency.put(engine.engine, engine.models, expectedAt)
        }
        state.instanceCount = message.instances.coerceAtLeast(1)
        takeShares(message, nowMillis)
        if (message.engines.isNotEmpty()) state.wakeWaiting()
    }

    /** Notes that the instance that led in [ledTerm] has told that it leads no more. */
    public fun leaderEnded(ledTerm: Long?) {
        if (ledTerm != term) return
        loneShares.leaderEnded()
        setShares(clock.monotonicMillis())
    }

    private fun takeShares(message: LeaderMessage.State, nowMillis: Long) {
        val askedMillis = sentMillis[message.answers]
        if (askedMillis == null || message.revision == 0L) {
            setShares(nowMillis)
            return
        }
        sharesUntilMillis = maxOf(sharesUntilMillis, askedMillis + message.shareLeaseMillis)
        revision = message.revision
        shares = message.shares
        shareTotal = message.shareTotal
        setShares(nowMillis)
    }

    /** Fills the accounts' buckets and drops shares whose lease has run out. */
    public fun tick() {
        val nowMillis = clock.monotonicMillis()
        if (shares.isNotEmpty() && nowMillis >= sharesUntilMillis) {
            DecisionLog.record("shares_lapsed", "term" to term, "revision" to revision)
            shares = emptyMap()
        }
        setShares(nowMillis)
    }

    private fun setShares(nowMillis: Long) {
        val accounts = state.configuration?.accounts?.values.orEmpty()
        val wasAlone = loneShares.isAlone
        val inForce = loneShares.inForce(shares, shareTotal, nowMillis)
        if (loneShares.isAlone && !wasAlone) {
            DecisionLog.record("shares_without_leader", "term" to term, "total" to shareTotal)
        }
        state.quota.setShares(inForce, accounts, nowMillis)
        if (inForce.isNotEmpty() && state.configuration != null) state.startGate.open()
    }

    private companion object {
        const val NO_TERM = -1L

        /** Reports whose answers may still come. */
        const val MAX_OPEN_REPORTS = 64
    }
}
