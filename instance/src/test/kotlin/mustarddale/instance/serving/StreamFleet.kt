/*
 * A simulated fleet before servers of several software versions: instances that record and report
 * their streams, a leader that others keep them for, and clients that take streams up elsewhere.
 */
package mustarddale.instance.serving

import java.util.Random
import mustarddale.instance.serving.state.StreamVersions
import mustarddale.serving.version.StreamRecords
import mustarddale.serving.version.VersionedStreams
import mustarddale.time.Clock

/**
 * A fleet of [instanceCount] instances, of which [lostInstances] are killed every five seconds.
 *
 * @param releaseMillis when the second version and later ones appear; streams that are taken up
 *   before are not counted.
 */
internal class StreamFleet(
    private val instanceCount: Int,
    private val lostInstances: Int,
    private val killsLeader: Boolean,
    private val reportDelayMillis: Int,
    private val releaseMillis: Long,
    seed: Long
) {
    private val random = Random(seed)
    private var nowMillis = 0L
    private val clock = object : Clock {
        override fun monotonicMillis() = nowMillis

        override fun wallMillis() = nowMillis
    }
    private val members = List(instanceCount) { Member() }
    private var leaderIndex = 0
    private var leader: StreamRecords? = StreamRecords(MAX_RECORDS)
    private var leaderBackMillis = 0L
    private val open = ArrayList<Stream>()
    private val messages = ArrayList<Message>()
    private var streamCount = 0

    /** Streams that went on at another version than the one that began them. */
    var mixed = 0
        private set
    var takenUp = 0
        private set
    var wentOn = 0
        private set

    fun run(durationMillis: Long) {
        while (nowMillis < durationMillis) {
            nowMillis += STEP_MILLIS
            if (nowMillis == releaseMillis) release()
            if (nowMillis % KILL_INTERVAL_MILLIS == 0L) kill()
            if (leader == null && nowMillis >= leaderBackMillis) elect()
            deliver()
            begin()
            members.forEachIndexed { index, member -> member.step(index) }
            breakStreams()
            open.toList().forEach { it.step() }
        }
    }

    /** The versions that servers have by now. */
    private val listedVersions get() = if (nowMillis < releaseMillis) VERSIONS.take(1) else VERSIONS

    private fun release() {
        members.forEach { it.recordListed() }
        takenUp = 0
        wentOn = 0
    }

    private fun kill() {
        val others = members.indices.filter { it != leaderIndex }.shuffled(random)
        val lost = if (killsLeader) {
            listOf(leaderIndex) + others.take(lostInstances - 1)
        } else {
            others.take(lostInstances)
        }
        lost.forEach { members[it].restart() }
        messages.removeIf { it.from in lost }
        if (leaderIndex in lost) {
            leader = null
            leaderBackMillis = nowMillis + TAKEOVER_MILLIS
        }
        open.filter { it.instance in lost }.forEach { it.bringElsewhere() }
    }

    private fun elect() {
        leaderIndex = random.nextInt(instanceCount)
        leader = StreamRecords(MAX_RECORDS)
        messages.clear()
        members.forEach { it.versions.forgetReports() }
    }

    private fun deliver() {
        val due = messages.filter { it.atMillis <= nowMillis }
        messages.removeAll(due.toSet())
        val records = leader ?: return
        due.flatMap { it.streams }.forEach { group ->
            group.requests.forEach { records.put(it, group.version, nowMillis) }
        }
    }

    private fun begin() {
        repeat(STREAMS_PER_STEP) {
            streamCount++
            val stream =
                Stream("r$streamCount", listedVersions.random(), random.nextInt(instanceCount))
            members[stream.instance].versions.record(stream.id, stream.version)
            open += stream
        }
    }

    private fun breakStreams() {
        if (random.nextInt(BREAK_STEPS) == 0 && open.isNotEmpty()) open.random().bringElsewhere()
    }

    private fun <T> List<T>.random(): T = this[random.nextInt(size)]

    private class Message(val from: Int, val atMillis: Long, val streams: List<VersionedStreams>)

    private inner class Member {
        var versions = newVersions()
            private set
        private var keptNumber = 0L
        private var keptFrom: StreamRecords? = null

        private fun newVersions() = StreamVersions(clock).also { recordListed(it) }

        private fun recordListed(versions: StreamVersions) = listedVersions.forEach {
            versions.history.recordListed(SERVICE, it, nowMillis)
        }

        fun recordListed() = recordListed(versions)

        /** Returns the version that began the stream [id], null if it is not known. */
        fun versionOf(id: String): String? =
            VERSIONS.first().takeIf { !versions.history.isMixed(SERVICE) }
                ?: versions.versionOf(id) ?: leader?.versionOf(id)

        fun restart() {
            versions = newVersions()
            keptNumber = 0
        }

        fun step(index: Int) {
            val records = leader ?: return
            if ((nowMillis / STEP_MILLIS + index) % REPORT_STEPS != 0L) return
            if (index % (instanceCount / KEEPERS) == 0) keep(records)
            val atMillis = nowMillis + 2 + random.nextInt(reportDelayMillis)
            messages += Message(index, atMillis, versions.takeUnreported())
        }

        private fun keep(records: StreamRecords) {
            if (keptFrom !== records) keptNumber = 0
            keptFrom = records
            versions.keep(VersionedStreams.of(records.since(keptNumber)))
            keptNumber = records.lastNumber
        }
    }

    private inner class Stream(val id: String, val version: String, var instance: Int) {
        private val endMillis = nowMillis + 1_000 + random.nextInt(8_000)
        private var askUntilMillis: Long? = null

        fun bringElsewhere() {
            instance = (instance + 1 + random.nextInt(instanceCount - 1)) % instanceCount
            askUntilMillis = maxOf(nowMillis, leaderBackMillis) + ASK_MILLIS
            takenUp++
        }

        fun step() {
            val untilMillis = askUntilMillis
            if (untilMillis != null) {
                val known = members[instance].versionOf(id)
                when {
                    known != null -> goOn(known)
                    nowMillis >= untilMillis -> open -= this
                }
            } else if (nowMillis >= endMillis) {
                open -= this
            }
        }

        private fun goOn(known: String) {
            askUntilMillis = null
            wentOn++
            if (known != version) mixed++
            members[instance].versions.record(id, known)
        }
    }

    private companion object {
        const val SERVICE = "scribe"
        val VERSIONS = listOf("v1", "v1.1", "v1.2")
        const val STEP_MILLIS = 25L
        const val STREAMS_PER_STEP = 3
        const val BREAK_STEPS = 4
        const val KILL_INTERVAL_MILLIS = 5_000L
        const val TAKEOVER_MILLIS = 2_500L
        const val REPORT_STEPS = 10
        const val KEEPERS = 6
        const val ASK_MILLIS = 600L
        const val MAX_RECORDS = 65_536
    }
}
