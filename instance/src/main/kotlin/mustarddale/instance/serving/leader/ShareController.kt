/*
 * The leader's part in client accounts' rates: grants shares to instances and lends from the pool.
 * It runs on the event loop.
 */
package mustarddale.instance.serving.leader

import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.quota.AccountQuota
import mustarddale.serving.quota.ShareGrant
import mustarddale.serving.quota.ShareHolder
import mustarddale.serving.quota.ShareLedger
import mustarddale.serving.quota.ShareReport
import mustarddale.time.Clock

/**
 * The shares and the pool of the leadership [won].
 *
 * @param onNewHolder called when an instance has its first shares.
 */
internal class ShareController(
    private val won: LeadershipTerm,
    private val state: ServingState,
    private val clock: Clock,
    private val onNewHolder: () -> Unit
) {
    /** What the newest record in the log says that instances may hold. */
    var recordedHolders: List<ShareHolder> = won.predecessor?.shareHolders.orEmpty()

    private var pool = AccountQuota { state.extraQuotaTokens }
    private val ledger =
        ShareLedger(recordedHolders, GRANTED_PART, SHARE_LEASE_MILLIS, won.sinceMillis)
    private var grants = emptyMap<String, ShareGrant>()
    private var grantedAtMillis = 0L
    private var hasNewHolder = false

    /** How many instances may hold shares. */
    val holderCount: Int get() = ledger.holderCount

    /** Returns the newest grant to [instance], null if it has none. */
    fun grantFor(instance: String): ShareGrant? = grants[instance]

    /** Returns the holders for a record that is about to be sent; it may or may not land. */
    fun holders(): List<ShareHolder> {
        val next = ledger.holders(clock.monotonicMillis())
        val before = recordedHolders.associateBy { it.instance }
        recordedHolders = next.mapNotNull { holder ->
            before[holder.instance]?.let { holder.atMost(it) }
        }
        return next
    }

    /** Takes in what an instance says of its shares. */
    fun report(report: LeaderMessage.Report, nowMillis: Long) {
        val isOfTerm = report.term == won.term
        val isNew = ledger.report(
            ShareReport(
                report.instance,
                report.run,
                if (isOfTerm) report.confirmedRevision else 0,
                report.shares,
                report.wantedTokens,
                report.heardMillis.takeIf { isOfTerm }
            ),
            nowMillis
        )
        if (isNew) hasNewHolder = true
    }

    /** Takes tokens out of the pool. */
    fun lend(wanted: LeaderMessage.TokensWanted): LeaderMessage.TokensGiven {
        val nowMillis = clock.monotonicMillis()
        if (nowMillis - grantedAtMillis > MAX_GRANT_GAP_MILLIS) grant(nowMillis)
        val account = state.configuration?.accounts?.get(wanted.account)
        val waitMillis = when {
            account == null -> UNKNOWN_ACCOUNT_WAIT_MILLIS
            pool.tryTake(account, wanted.tokens, nowMillis) -> 0
            else -> pool.waitMillis(account, wanted.tokens, nowMillis).coerceAtLeast(1)
        }
        return LeaderMessage.TokensGiven(wanted.number, waitMillis)
    }

    /** Notes that others were told, or are about to be told, that this instance does not lead. */
    fun ended() {
        ledger.leaderEnded(clock.monotonicMillis())
        grantedAtMillis = 0L
    }

    /** Grants anew if it is time, or an instance waits for its first shares. */
    fun tick(nowMillis: Long) {
        if (hasNewHolder || nowMillis - grantedAtMillis >= GRANT_MILLIS) grant(nowMillis)
    }

    private fun grant(nowMillis: Long) {
        if (nowMillis - grantedAtMillis > MAX_GRANT_GAP_MILLIS) {
            // This instance was paused: what the pool gathered may have been used by others.
            pool = AccountQuota { state.extraQuotaTokens }
        }
        grantedAtMillis = nowMillis
        val accounts = state.configuration?.accounts?.values.orEmpty()
        val names = accounts.map { it.name }
        grants = ledger.grant(names, recordedHolders, nowMillis)
        val lendable = names.associateWith { ledger.lendablePart(it, nowMillis) }
        pool.setShares(lendable, accounts, nowMillis)
        if (hasNewHolder) {
            hasNewHolder = false
            onNewHolder()
        }
    }

    internal companion object {
        /** The rest is lent by the leader to instances whose requests come in clumps. */
        const val GRANTED_PART = 0.5

        /** Outlasts the usual outages of the log, which last up to nine seconds. */
        const val SHARE_LEASE_MILLIS = 10_000L

        /** Demand of an instance is told four times a second. */
        private const val GRANT_MILLIS = 250L

        /** Above the usual interval; a longer one shows that the event loop stood still. */
        private const val MAX_GRANT_GAP_MILLIS = 380L

        /** The instance that asks knows a newer configuration, or an older one. */
        private const val UNKNOWN_ACCOUNT_WAIT_MILLIS = 200L
    }
}
