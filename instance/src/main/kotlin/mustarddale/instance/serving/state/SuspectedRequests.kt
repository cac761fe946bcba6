/*
 * The requests that may crash servers, as far as this instance knows: those that it lost itself,
 * and those that the leader has named. Requests are digested only while there are any.
 */
package mustarddale.instance.serving.state

import mustarddale.serving.crash.RequestVerdict
import mustarddale.time.Clock

/** Collects what happens to suspected requests; confined to one thread. */
public class SuspectedRequests(private val clock: Clock) {
    private var verdicts = emptyMap<String, RequestVerdict>()
    private var updatedAtMillis = 0L
    private var hasHeardLeader = false
    private val ownLossMillis = LinkedHashMap<String, Long>()
    private val lossMillisByServer = LinkedHashMap<String, Long>()
    private val answered = LinkedHashSet<String>()
    private val endedTrials = LinkedHashSet<String>()
    private val servingServers = LinkedHashSet<String>()

    /** The number of requests that are blocked. */
    public val blockedCount: Int get() = verdicts.values.count { it.isBlocked }

    /** Whether no request is suspected. */
    public val isEmpty: Boolean get() = verdicts.isEmpty() && ownLossMillis.isEmpty()

    /** Replaces the leader's verdicts by its newest ones. */
    public fun update(newVerdicts: List<RequestVerdict>) {
        hasHeardLeader = true
        replace(newVerdicts)
    }

    /** Takes over the verdicts in a leadership record, unless a leader has sent newer ones. */
    public fun updateFromRecord(recordedVerdicts: List<RequestVerdict>) {
        if (!hasHeardLeader) replace(recordedVerdicts)
    }

    private fun replace(newVerdicts: List<RequestVerdict>) {
        verdicts = newVerdicts.associateBy { it.digest }
        updatedAtMillis = clock.monotonicMillis()
    }

    /** Returns the leader's verdicts as of now. */
    public fun current(): List<RequestVerdict> = verdicts.values.map { it.asOfNow() }

    /** Whether the request [digest] may only be sent with the leader's permit. */
    public fun isSuspected(digest: String): Boolean = digest in verdicts || digest in ownLossMillis

    /** Returns the leader's verdict on the request [digest] as of now, null if it has none. */
    public fun verdictOn(digest: String): RequestVerdict? = verdicts[digest]?.asOfNow()

    /** Records that the request [digest] had no answer when [server] was lost. */
    public fun recordLost(digest: String, server: String) {
        ownLossMillis[digest] = clock.monotonicMillis()
        if (ownLossMillis.size > MAX_ENTRIES) ownLossMillis.remove(ownLossMillis.keys.first())
        lossMillisByServer.putIfAbsent(server, clock.monotonicMillis())
        if (lossMillisByServer.size > MAX_ENTRIES) {
            lossMillisByServer.remove(lossMillisByServer.keys.first())
        }
    }

    /** Records that a server has begun to answer the request [digest]; true if it was suspected. */
    public fun recordAnswer(digest: String): Boolean {
        if (!isSuspected(digest)) return false
        ownLossMillis.remove(digest)
        verdicts = verdicts - digest
        if (answered.size < MAX_ENTRIES) answered.add(digest)
        return true
    }

    /** Records that a trial of the request [digest] ended without an answer or a loss. */
    public fun recordTrialEnd(digest: String) {
        if (endedTrials.size < MAX_ENTRIES) endedTrials.add(digest)
    }

    /** Records that [server] has responded to a request that was sent at [sentMillis]. */
    public fun recordResponse(server: String, sentMillis: Long) {
        val lostMillis = lossMillisByServer[server] ?: return
        if (sentMillis <= lostMillis) return
        lossMillisByServer.remove(server)
        servingServers.add(server)
    }

    /** Returns the suspected requests that were answered since the last call. */
    public fun takeAnswered(): Set<String> = answered.toSet().also { answered.clear() }

    /** Returns the suspected requests whose trials ended undecided since the last call. */
    public fun takeEndedTrials(): Set<String> = endedTrials.toSet().also { endedTrials.clear() }

    /** Returns the servers that were lost and have responded since the last call. */
    public fun takeServingServers(): Set<String> =
        servingServers.toSet().also { servingServers.clear() }

    /** Forgets requests that this instance lost long ago; the leader has judged them. */
    public fun removeExpired() {
        val beforeMillis = clock.monotonicMillis() - OWN_LOSS_TTL_MILLIS
        ownLossMillis.values.removeIf { it < beforeMillis }
    }

    private fun RequestVerdict.asOfNow(): RequestVerdict {
        val ageMillis = clock.monotonicMillis() - updatedAtMillis
        return copy(probeInMillis = (probeInMillis - ageMillis).coerceAtLeast(0))
    }

    private companion object {
        const val MAX_ENTRIES = 256

        /** As long as losses are reported to new leaders. */
        const val OWN_LOSS_TTL_MILLIS = 30_000L
    }
}
