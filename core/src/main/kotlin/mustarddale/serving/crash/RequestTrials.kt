/*
 * Finds the requests that crash servers. A request that was unanswered when its server was lost is
 * a suspect; it is sent again only as a trial, alone among suspects at its server, so that the
 * next loss says more than the first. A suspect is blocked if it was alone when it lost a trial and
 * explains all other losses of that time, and else when it loses its second trial. An answer
 * acquits it. A server that serves requests after its connection was lost has not crashed.
 */
package mustarddale.serving.crash

/** Joins what all instances have seen of lost requests on the leader; not thread-safe. */
public class RequestTrials(private val startMillis: Long) {
    private val suspects = LinkedHashMap<String, Suspect>()
    private val trialsByServer = HashMap<String, Trial>()

    /** Grows with each change of [verdicts] other than the passing of time. */
    public var version: Long = 0
        private set

    /** Records that the request [digest] to [service] had no answer when [server] was lost. */
    public fun recordLost(digest: String, service: String, server: String, nowMillis: Long) {
        val suspect = suspectOf(digest, service, nowMillis)
        if (trialsByServer[server]?.digest == digest) {
            trialsByServer.remove(server)
            suspect.serversLostInTrials += server
        }
        if (suspect.lossMillisByServer.putIfAbsent(server, nowMillis) != null) return
        suspect.isWatched = true
        suspect.changedAtMillis = nowMillis
        version++
    }

    /** Records that the requests [digests] were answered. */
    public fun recordAnswers(digests: Set<String>) {
        if (!suspects.keys.removeAll(digests)) return
        trialsByServer.values.removeIf { it.digest in digests }
        version++
    }

    /** Records that the trials of [digests] ended without an answer or a loss. */
    public fun endTrials(digests: Set<String>) {
        if (digests.isNotEmpty()) trialsByServer.values.removeIf { it.digest in digests }
    }

    /** Records that [servers] have served requests after a connection to them was lost. */
    public fun recordServing(servers: Set<String>) {
        val changed = suspects.values.filter { it.lossMillisByServer.keys.removeAll(servers) }
        if (changed.isEmpty()) return
        changed.filter { !it.isAdopted }.forEach {
            if (it.lossMillisByServer.size < MIN_CRASHES) it.isBlocked = false
            if (it.lossMillisByServer.isEmpty()) suspects.values.remove(it)
        }
        version++
    }

    /** Takes over [verdict] from an instance, or from the record of an earlier leader. */
    public fun adopt(verdict: RequestVerdict, nowMillis: Long) {
        val suspect = suspectOf(verdict.digest, UNKNOWN_SERVICE, nowMillis)
        val isNews = !suspect.isBlocked || verdict.probesLeft < suspect.probesLeft
        if (verdict.isBlocked && isNews) {
            suspect.isAdopted = true
            suspect.isBlocked = true
            suspect.probesLeft = minOf(suspect.probesLeft, verdict.probesLeft)
            suspect.probeAtMillis = nowMillis + verdict.probeInMillis
        } else if (suspect.isWatched) {
            return
        }
        suspect.isWatched = true
        version++
    }

    /** Returns the digests of the requests that are blocked from now on. */
    public fun blockSuspects(nowMillis: Long): List<String> {
        dropExpired(nowMillis)
        val blocked = suspects.filterValues { isGuilty(it, nowMillis) }
        blocked.values.forEach { it.block(nowMillis) }
        if (blocked.isNotEmpty()) version++
        return blocked.keys.toList()
    }

    /**
     * Requests that [digest] may be sent to [server] of [service] once; returns 0 if it may, else
     * the milliseconds until the next request can have another result.
     */
    public fun requestTrial(
        digest: String,
        service: String,
        server: String,
        nowMillis: Long
    ): Long {
        val readyInMillis = startMillis + GATHER_MILLIS - nowMillis
        if (readyInMillis > 0) return readyInMillis
        trialsByServer.values.removeIf { it.untilMillis <= nowMillis }
        val suspect = suspectOf(digest, service, nowMillis)
        suspect.changedAtMillis = nowMillis
        val verdict = suspect.toVerdict(digest, nowMillis)
        if (verdict.forbidsSending) {
            return if (verdict.probesLeft == 0) FORGET_MILLIS else verdict.probeInMillis
        }
        val isUndecided = suspect.hasUnsettledLosses(nowMillis) || isGuilty(suspect, nowMillis)
        val isBusy =
            server in trialsByServer || trialsByServer.values.any { it.digest == digest }
        if (isUndecided || isBusy) return BUSY_RETRY_MILLIS
        trialsByServer[server] = Trial(digest, nowMillis + TRIAL_LEASE_MILLIS)
        if (suspect.isBlocked) {
            suspect.recordProbe(nowMillis)
            version++
        }
        return 0
    }

    /** Returns the servers that were lost with the request [digest] unanswered. */
    public fun serversLostBy(digest: String): Set<String> =
        suspects[digest]?.lossMillisByServer?.keys?.toSet().orEmpty()

    /** Returns the requests that instances have to watch: the lately lost and the suspicious. */
    public fun verdicts(nowMillis: Long): List<RequestVerdict> = suspects.filterValues {
        it.isWatched
    }.map { (digest, it) -> it.toVerdict(digest, nowMillis) }

    /** Returns the verdicts that must outlast this leader. */
    public fun lastingVerdicts(nowMillis: Long): List<RequestVerdict> = suspects.filterValues {
        it.isLasting
    }.map { (digest, it) -> it.toVerdict(digest, nowMillis) }

    private fun suspectOf(digest: String, service: String, nowMillis: Long): Suspect {
        val known = suspects[digest]
        if (known != null) {
            if (known.service == UNKNOWN_SERVICE) known.service = service
            return known
        }
        if (suspects.size >= MAX_SUSPECTS) {
            val leastSuspicious = suspects.entries.minWith(
                compareBy({
                    it.value.isBlocked
                }, { it.value.isLasting }, { it.value.changedAtMillis })
            )
            suspects.remove(leastSuspicious.key)
        }
        return Suspect(service, nowMillis).also { suspects[digest] = it }
    }

    private fun isGuilty(suspect: Suspect, nowMillis: Long): Boolean {
        if (suspect.isBlocked || suspect.hasUnsettledLosses(nowMillis)) return false
        if (suspect.lossMillisByServer.size < MIN_CRASHES) return false
        return suspect.serversLostInTrials.size >= MAX_LOST_TRIALS || isSoleCause(suspect)
    }

    /** Whether [suspect] was alone when it lost a trial, and explains all losses of the time. */
    private fun isSoleCause(suspect: Suspect): Boolean {
        val sinceMillis = suspect.lossMillisByServer.values.min() - CONCURRENCY_MILLIS
        val others = suspects.values.filter { it !== suspect && it.service == suspect.service }
        val lostWithOthers = others.flatMap { it.lossMillisByServer.keys }.toSet()
        if (lostWithOthers.containsAll(suspect.serversLostInTrials)) return false
        val explained = others.filter { it.isBlocked }.flatMap { it.lossMillisByServer.keys }
        val lost = others.flatMap { it.lossMillisByServer.filterValues { it >= sinceMillis }.keys }
        return suspect.lossMillisByServer.keys.containsAll(lost - explained.toSet())
    }

    private fun dropExpired(nowMillis: Long) {
        val before = suspects.size
        suspects.values.removeIf { nowMillis - it.changedAtMillis >= FORGET_MILLIS }
        val unwatched = suspects.values.filter {
            it.isWatched && !it.isLasting && nowMillis - it.changedAtMillis >= WATCH_MILLIS
        }
        unwatched.forEach { it.isWatched = false }
        if (suspects.size < before || unwatched.isNotEmpty()) version++
    }

    private class Trial(val digest: String, val untilMillis: Long)

    private class Suspect(var service: String, var changedAtMillis: Long) {
        val lossMillisByServer = LinkedHashMap<String, Long>()
        var isBlocked = false
        var isAdopted = false
        val serversLostInTrials = HashSet<String>()
        var isWatched = false
        var probesLeft = MAX_PROBES
        var probeAtMillis = 0L

        /** Whether the suspect must be known as long as the request may come again. */
        val isLasting: Boolean
            get() = isBlocked || isAdopted || lossMillisByServer.size >= MIN_CRASHES

        fun hasUnsettledLosses(nowMillis: Long): Boolean =
            !isBlocked && lossMillisByServer.size >= MIN_CRASHES &&
                nowMillis - lossMillisByServer.values.max() < SETTLE_MILLIS

        fun block(nowMillis: Long) {
            isBlocked = true
            probeAtMillis = nowMillis + FIRST_PROBE_MILLIS
        }

        fun recordProbe(nowMillis: Long) {
            probesLeft--
            probeAtMillis = nowMillis + SECOND_PROBE_MILLIS
        }

        fun toVerdict(digest: String, nowMillis: Long) = RequestVerdict(
            digest,
            isBlocked,
            probesLeft,
            (probeAtMillis - nowMillis).coerceAtLeast(0)
        )
    }

    public companion object {
        private const val UNKNOWN_SERVICE = ""

        /** A single loss has other causes more often than not. */
        private const val MIN_CRASHES = 2

        /** One trial can be lost by chance, if another request crashes its server. */
        private const val MAX_LOST_TRIALS = 2

        /** Together with a trial in flight, fewer than the platform allows after the crashes. */
        private const val MAX_PROBES = 2

        /** Servers lost within this time may have one cause, such as a power failure. */
        private const val CONCURRENCY_MILLIS = 2_000L

        /** The time in which all instances report their unanswered requests. */
        private const val SETTLE_MILLIS = 150L

        /** The time in which instances report what they know to a new leader. */
        private const val GATHER_MILLIS = 500L

        /** Longer than most requests take to their first event. */
        private const val TRIAL_LEASE_MILLIS = 1_500L
        private const val BUSY_RETRY_MILLIS = 40L

        /** In this time a request that many callers send is answered. */
        private const val WATCH_MILLIS = 10_000L

        private const val FIRST_PROBE_MILLIS = 5_000L
        private const val SECOND_PROBE_MILLIS = 600_000L

        /** A suspect is forgotten if it has not been requested for this long. */
        public const val FORGET_MILLIS: Long = 86_400_000L
        private const val MAX_SUSPECTS = 512
    }
}
