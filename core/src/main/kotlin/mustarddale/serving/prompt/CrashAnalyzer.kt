/*
 * Finds the parts of prompts that crash servers. Such a part is in an unanswered request at each
 * crash, and no request with it is ever answered, while a sound part that is in as many requests
 * is soon answered. A part is blocked once chance no longer explains that, together with the parts
 * that were in just the same requests; an answer then takes a part out of its block. The crashes
 * that a block explains count against no other part. One request at a time may probe a block, at
 * growing intervals.
 */
package mustarddale.serving.prompt

import kotlin.math.pow

/** A block that begins, and the servers that crashed before. */
public data class NewBlock(public val parts: Set<String>, public val servers: Set<String>)

/** Joins the observations of all instances on the leader; not thread-safe. */
public class CrashAnalyzer {
    private val crashesByServer = LinkedHashMap<String, Crash>()
    private val evidenceByPart = HashMap<String, Evidence>()
    private val blocks = ArrayList<Block>()
    private var answerCount = 0L

    /** Records [requests] answered requests, whose prompts have [parts]; true if a block ends. */
    public fun recordAnswers(requests: Int, parts: Set<String>): Boolean {
        answerCount += requests
        evidenceByPart.keys.removeAll(parts)
        blocks.forEach { it.parts -= parts }
        return blocks.removeIf { it.parts.isEmpty() }
    }

    /** Records a request that was unanswered when its server was lost. */
    public fun recordSuspect(suspect: CrashSuspect, nowMillis: Long) {
        if (crashesByServer.size >= MAX_CRASHES && suspect.server !in crashesByServer) return
        val crash = crashesByServer.getOrPut(suspect.server) { Crash(nowMillis) }
        if (crash.requests.size >= MAX_SUSPECTS || !crash.requests.add(suspect.request)) return
        if (blocks.any { it.matches(suspect.parts) }) crash.isExplained = true
        suspect.parts.forEach { part ->
            if (evidenceByPart.size >= MAX_PARTS && part !in evidenceByPart) return@forEach
            val evidence = evidenceByPart.getOrPut(part) { Evidence(answerCount) }
            evidence.serverByRequest[suspect.request] = suspect.server
        }
    }

    /** Takes over [block] from an instance that knows it from an earlier leader. */
    public fun adopt(block: PromptBlock, nowMillis: Long) {
        if (blocks.any { it.matches(block.parts) } || blocks.size >= MAX_BLOCKS) return
        val probeAtMillis = nowMillis + block.probeInMillis
        blocks += Block(block.parts, probeAtMillis, block.probeIntervalMillis, nowMillis)
    }

    /** Returns the blocks that begin now. */
    public fun blockSuspects(nowMillis: Long): List<NewBlock> {
        dropExpired(nowMillis)
        if (crashesByServer.size < MIN_CRASHES) return emptyList()
        val newBlocks = ArrayList<NewBlock>()
        while (blocks.size < MAX_BLOCKS) {
            val cause = mostLikelyCause(nowMillis) ?: break
            val parts = evidenceByPart
                .filterValues { it.serverByRequest.keys == cause.serverByRequest.keys }.keys.toSet()
            blocks +=
                Block(parts, nowMillis + FIRST_PROBE_MILLIS, 2 * FIRST_PROBE_MILLIS, nowMillis)
            cause.servers.forEach { crashesByServer[it]?.isExplained = true }
            newBlocks += NewBlock(parts, cause.servers)
        }
        return newBlocks
    }

    /** Returns the evidence against the part that is the most likely cause, null if none is. */
    private fun mostLikelyCause(nowMillis: Long): Evidence? = evidenceByPart
        .filterValues { it.serverByRequest.size >= MIN_CRASHES }
        .filterKeys { part -> blocks.none { it.matches(listOf(part)) } }
        .mapValues { (part, evidence) -> evidence to expectedSoundParts(part, evidence, nowMillis) }
        .values
        .filter { (_, expected) -> expected < MAX_EXPECTED_SOUND_PARTS }
        .minWithOrNull(compareBy({ it.second }, { it.first.serverByRequest.size }))
        ?.first

    /** Returns all blocks. */
    public fun blocks(nowMillis: Long): List<PromptBlock> = blocks.map {
        val probeInMillis = (it.probeAtMillis - nowMillis).coerceAtLeast(0)
        PromptBlock(it.parts, probeInMillis, it.probeIntervalMillis)
    }

    /**
     * Requests a probe with a request whose prompt has [parts]; returns 0 if it is permitted, else
     * the milliseconds until the next one may be.
     */
    public fun requestProbe(parts: Collection<String>, nowMillis: Long): Long {
        val matching = blocks.filter { it.matches(parts) }
        matching.forEach { it.requestedAtMillis = nowMillis }
        val waitMillis = matching.maxOfOrNull { it.probeAtMillis - nowMillis } ?: 0
        if (waitMillis > 0) return waitMillis
        matching.forEach {
            it.probeAtMillis = nowMillis + it.probeIntervalMillis
            it.probeIntervalMillis = minOf(2 * it.probeIntervalMillis, MAX_PROBE_INTERVAL_MILLIS)
        }
        return 0
    }

    /**
     * Returns how many sound parts would be expected to have the [evidence] against [part], at the
     * most over all frequencies that parts can have in prompts.
     */
    private fun expectedSoundParts(part: String, evidence: Evidence, nowMillis: Long): Double {
        val crashes = evidence.servers.mapNotNull { crashesByServer[it] }
            .filter { nowMillis - it.atMillis >= SETTLE_MILLIS }
        val unexplained = crashes.filter { !it.isExplained }
        // A part of a larger block also counts for the crashes that the block explains.
        val counted = if (blocks.any { part in it.parts }) crashes else unexplained
        val crashCount = minOf(counted.size, evidence.serverByRequest.size)
        if (unexplained.isEmpty() || crashCount < MIN_CRASHES) return Double.MAX_VALUE
        val answers = (answerCount - evidence.answersBefore).toDouble()
        return FREQUENCIES.maxOf { frequency ->
            val isAbsent = 1 - frequency
            val isInAllCrashes =
                counted.fold(1.0) { all, crash -> all * (1 - isAbsent.pow(crash.requests.size)) }
            isInAllCrashes * isAbsent.pow(answers) / frequency
        }
    }

    private fun dropExpired(nowMillis: Long) {
        if (crashesByServer.values.removeIf { nowMillis - it.atMillis >= EVIDENCE_MILLIS }) {
            evidenceByPart.values.removeIf { evidence ->
                evidence.serverByRequest.values.removeIf { it !in crashesByServer }
                evidence.serverByRequest.isEmpty()
            }
        }
        blocks.removeIf { nowMillis - it.requestedAtMillis >= FORGET_MILLIS }
    }

    /** The loss of one run of a server at [atMillis]. */
    private class Crash(val atMillis: Long) {
        val requests = HashSet<String>()

        /** Whether a blocked request was among [requests]. */
        var isExplained = false
    }

    /** The unanswered requests with one part, since [answersBefore] requests were answered. */
    private class Evidence(val answersBefore: Long) {
        val serverByRequest = HashMap<String, String>()
        val servers: Set<String> get() = serverByRequest.values.toSet()
    }

    private class Block(
        var parts: Set<String>,
        var probeAtMillis: Long,
        var probeIntervalMillis: Long,
        var requestedAtMillis: Long
    ) {
        fun matches(requestParts: Collection<String>) = requestParts.containsAll(parts)
    }

    private companion object {
        /** A single crash has other causes more often than not. */
        const val MIN_CRASHES = 2

        /** One wrongly blocked part in a hundred series of crashes. */
        const val MAX_EXPECTED_SOUND_PARTS = 0.01

        /** From parts of single sessions to parts that most prompts share. */
        val FREQUENCIES = listOf(0.001, 0.003, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6)

        /** The time in which all instances report their unanswered requests. */
        const val SETTLE_MILLIS = 150L

        const val EVIDENCE_MILLIS = 30_000L

        /** Longer than a server takes to return and to load its models. */
        const val FIRST_PROBE_MILLIS = 20_000L
        const val MAX_PROBE_INTERVAL_MILLIS = 600_000L

        /** A block ends if no request has matched it for this long. */
        const val FORGET_MILLIS = 1_200_000L

        const val MAX_CRASHES = 256
        const val MAX_SUSPECTS = 512
        const val MAX_PARTS = 4_096
        const val MAX_BLOCKS = 64
    }
}
