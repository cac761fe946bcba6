/*
 * The leader's management of client accounts' rates: grants each instance a share of each rate, and
 * lends tokens from the pool, which is the part of the rates that is not granted. Runs on the event
 * loop.
 */
package mustarddale.instance.serving.leader

import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.leadership.InstanceAddress
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.quota.AccountQuota
import mustarddale.serving.quota.ShareAllocator
import mustarddale.serving.quota.ShareGrant
import mustarddale.serving.quota.ShareHolder
import mustarddale.serving.quota.ShareReport
import mustarddale.time.Clock

/**
 * Manages the shares and the pool during one term as leader.
 *
 * @param onNewHolder called when an instance got its first shares.
 */
internal class ShareController(
    private val leadership: LeadershipTerm,
    private val state: ServingState,
    private val clock: Clock,
    private val onNewHolder: () -> Unit
) {
    /**
     * Upper bounds of the shares that instances may hold, from the newest leadership record; no
     * more may be granted, because the next leader relies on them.
     */
    var recordedHolders: List<ShareHolder> = leadership.predecessor?.shareHolders.orEmpty()

    private var pool = AccountQuota { state.extraQuotaTokens }
    private val allocator = ShareAllocator(
        recordedHolders,
        GRANTED_FRACTION,
        SHARE_LEASE_MILLIS,
        leadership.sinceMillis
    )
    private var grants = emptyMap<String, ShareGrant>()
    private var grantedAtMillis = 0L
    private var hasNewHolder = false
    private var loggedUnreportedCount = 0

    /** The number of instances that may hold shares. */
    val holderCount: Int get() = allocator.holderCount

    /** The instances that may hold shares. */
    val holderNames: Set<String> get() = allocator.holderNames

    /** Returns the place of [instance] in the order of all that may hold shares. */
    fun rankOf(instance: String): Int = allocator.rankOf(instance)

    /** Returns the latest grant to [instance], null if it has none. */
    fun grantFor(instance: String): ShareGrant? = grants[instance]

    /**
     * Returns the holders for the next leadership record; until that record is known to be in the
     * log, grants stay within both it and the previous one, since either may be the newest.
     */
    fun holdersForRecord(): List<ShareHolder> {
        val next = allocator.holders(clock.monotonicMillis())
        val previous = recordedHolders.associateBy { it.instance }
        recordedHolders = next.mapNotNull { holder ->
            previous[holder.instance]?.let { holder.atMost(it) }
        }
        return next
    }

    /** Processes what an instance's report says about its shares. */
    fun handleReport(report: LeaderMessage.Report, nowMillis: Long) {
        val isOfThisTerm = report.term == leadership.term
        val isNew = allocator.report(
            ShareReport(
                report.instance,
                report.run,
                if (isOfThisTerm) report.confirmedRevision else 0,
                report.shares,
                report.wantedTokens,
                report.heardMillis.takeIf { isOfThisTerm },
                report.address
            ),
            nowMillis
        )
        if (isNew) hasNewHolder = true
    }

    /** Lends tokens from the pool, or says in the answer how long the instance should wait. */
    fun lend(request: LeaderMessage.TokensWanted): LeaderMessage.LoanAnswer {
        val nowMillis = clock.monotonicMillis()
        if (nowMillis - grantedAtMillis > MAX_GRANT_GAP_MILLIS) grant(nowMillis)
        val account = state.configuration?.accounts?.get(request.account)
        val waitMillis = when {
            account == null -> UNKNOWN_ACCOUNT_WAIT_MILLIS
            pool.tryTake(account, request.tokens, nowMillis) -> 0
            else -> pool.waitMillis(account, request.tokens, nowMillis).coerceAtLeast(1)
        }
        return LeaderMessage.LoanAnswer(request.number, waitMillis)
    }

    /** Returns where the processes listen that may hold shares and have not reported lately. */
    fun silentHolders(nowMillis: Long): Map<String, InstanceAddress> =
        allocator.silentHolders(nowMillis)

    /** Records that the process of [instance] had ended at [atMillis]. */
    fun recordEnded(instance: String, atMillis: Long) {
        allocator.recordEnded(instance, atMillis)
        DecisionLog.record("process_ended", "instance" to instance, "term" to leadership.term)
        hasNewHolder = true
    }

    /** Handles the loss of leadership, of which other instances have been or will be notified. */
    fun handleLeadershipLost() {
        allocator.onLeadershipEnded(clock.monotonicMillis())
        grantedAtMillis = 0L
    }

    /** Updates the grants if they are due or an instance waits for its first shares. */
    fun tick(nowMillis: Long) {
        if (hasNewHolder || nowMillis - grantedAtMillis >= GRANT_INTERVAL_MILLIS) grant(nowMillis)
    }

    private fun logWithheld() {
        val unreported = allocator.unreportedInstances
        if (unreported.size == loggedUnreportedCount) return
        loggedUnreportedCount = unreported.size
        DecisionLog.record(
            "shares_withheld",
            "term" to leadership.term,
            "unreported" to unreported.size,
            "some" to unreported.take(MAX_LOGGED_INSTANCES),
            "holders" to holderCount
        )
    }

    private fun grant(nowMillis: Long) {
        if (nowMillis - grantedAtMillis > MAX_GRANT_GAP_MILLIS) {
            // The process was paused: other instances may have used what the pool accumulated.
            pool = AccountQuota { state.extraQuotaTokens }
        }
        grantedAtMillis = nowMillis
        val accounts = state.configuration?.accounts?.values.orEmpty()
        val names = accounts.map { it.name }
        grants = allocator.grant(names, recordedHolders, nowMillis)
        val lendable = names.associateWith { allocator.lendableShare(it, nowMillis) }
        pool.setShares(lendable, accounts, nowMillis)
        logWithheld()
        if (hasNewHolder) {
            hasNewHolder = false
            onNewHolder()
        }
    }

    internal companion object {
        /** The leader lends the rest to instances with bursts of requests. */
        const val GRANTED_FRACTION = 0.5

        /** Longer than the usual log outages, which last up to 9 s. */
        const val SHARE_LEASE_MILLIS = 10_000L

        /** Instances report their demand four times per second. */
        private const val GRANT_INTERVAL_MILLIS = 250L

        /** Above the usual interval; a longer gap means that the event loop was blocked. */
        private const val MAX_GRANT_GAP_MILLIS = 380L

        private const val MAX_LOGGED_INSTANCES = 4

        /** Until both sides have the same configuration, one may not know the account. */
        private const val UNKNOWN_ACCOUNT_WAIT_MILLIS = 200L
    }
}
