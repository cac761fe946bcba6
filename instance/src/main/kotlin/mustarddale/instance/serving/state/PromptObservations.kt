/*
 * What this instance has seen of the parts of prompts: which were answered, and which were in
 * unanswered requests when the connection to a server was lost. Reports take the answers once;
 * lost requests are kept, so that a new leader gets them too.
 */
package mustarddale.instance.serving.state

import mustarddale.serving.prompt.CrashSuspect
import mustarddale.time.Clock

/** Answered requests since the last report, and the parts of their prompts. */
public data class PromptAnswers(public val requests: Int, public val parts: Set<String>)

/** Collects observations on prompts; confined to one thread. */
public class PromptObservations(private val clock: Clock) {
    private val answeredAtMillis = LinkedHashMap<String, Long>()
    private val unreportedParts = LinkedHashSet<String>()
    private var unreportedAnswers = 0
    private val suspects = ArrayDeque<Pair<Long, CrashSuspect>>()
    private var unreportedSuspects = 0

    /** Records that a server has begun to answer a request whose prompt has [parts]. */
    public fun recordAnswer(parts: List<String>) {
        if (parts.isEmpty()) return
        unreportedAnswers++
        val nowMillis = clock.monotonicMillis()
        parts.forEach { part ->
            answeredAtMillis.remove(part)
            answeredAtMillis[part] = nowMillis
            if (unreportedParts.size < MAX_PARTS) unreportedParts.add(part)
        }
        while (answeredAtMillis.size > MAX_PARTS) {
            answeredAtMillis.remove(answeredAtMillis.keys.first())
        }
    }

    /** Records a request that had no answer when the connection to its server was lost. */
    public fun recordSuspect(suspect: CrashSuspect) {
        suspects.addLast(clock.monotonicMillis() to suspect)
        unreportedSuspects++
        if (suspects.size > MAX_SUSPECTS) suspects.removeFirst()
    }

    /**
     * Whether one of [parts] may crash servers: several were lost lately, and since the same time
     * no request with the part was answered here.
     */
    public fun areSuspicious(parts: List<String>): Boolean {
        val sinceMillis = clock.monotonicMillis() - SUSPICION_MILLIS
        val lostServers =
            suspects.filter { it.first >= sinceMillis && it.second.parts.isNotEmpty() }
                .map { it.second.server }
        val hasUnanswered = parts.any { (answeredAtMillis[it] ?: Long.MIN_VALUE) < sinceMillis }
        return hasUnanswered && lostServers.distinct().size >= MIN_LOST_SERVERS
    }

    /** Returns the answers since the last call. */
    public fun takeAnswers(): PromptAnswers {
        val answers = PromptAnswers(unreportedAnswers, unreportedParts.toSet())
        unreportedAnswers = 0
        unreportedParts.clear()
        return answers
    }

    /** Returns the lost requests since the last call, or since [forgetReports]. */
    public fun takeSuspects(): List<CrashSuspect> {
        val newest = suspects.takeLast(unreportedSuspects).map { it.second }
        unreportedSuspects = 0
        return newest
    }

    /** Makes the next report contain all lost requests of the last seconds again. */
    public fun forgetReports() {
        val sinceMillis = clock.monotonicMillis() - SUSPECT_TTL_MILLIS
        unreportedSuspects = suspects.count { it.first >= sinceMillis }
    }

    private companion object {
        const val MAX_PARTS = 1_024
        const val MAX_SUSPECTS = 256
        const val SUSPECT_TTL_MILLIS = 30_000L

        /** Longer than the usual time between two requests with a shared part. */
        const val SUSPICION_MILLIS = 10_000L

        /** A single server is lost for other reasons more often than not. */
        const val MIN_LOST_SERVERS = 2
    }
}
