/*
 * This instance's side of the exchange of news of servers: what it reports to the leader of loads
 * and times that it has seen, and what the leader passes on from all instances.
 */
package mustarddale.instance.serving.state

import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendDirectory
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.ReportedLoad
import mustarddale.serving.backend.ServerFigure
import mustarddale.serving.backend.ServerObservations
import mustarddale.serving.backend.ServerSamples
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/** Exchanges news of the servers in [directory], whose loads are [loadOf]; for one thread. */
public class ServerObservationsExchange(
    private val directory: BackendDirectory,
    private val loadOf: (Backend) -> BackendLoad,
    private val clock: Clock
) {
    private val interval = MinInterval(INTERVAL_MILLIS)
    private val backendsByKey = HashMap<Int, Backend>()
    private var indexedVersion = -1L
    private var offset = 0

    /** The keys of the listed servers. */
    public val keys: Set<Int> get() = index().keys

    /** Returns the server with [key], null if there is none. */
    public fun find(key: Int): Backend? = index()[key]

    private fun index(): Map<Int, Backend> {
        if (indexedVersion == directory.version) return backendsByKey
        indexedVersion = directory.version
        backendsByKey.clear()
        directory.backends.groupBy { ServerObservations.keyOf(it.run) }.forEach { (key, servers) ->
            // Two runs hardly ever have the same key; if they do, nothing is exchanged of them.
            servers.singleOrNull()?.let { backendsByKey[key] = it }
        }
        return backendsByKey
    }

    /**
     * Returns what this instance has seen since the last call; null if there is nothing to report
     * or the last report was a moment ago. Servers that report no load are left out.
     */
    public fun take(): ServerObservations? {
        val nowMillis = clock.monotonicMillis()
        if (interval.waitMillis(nowMillis) > 0) return null
        interval.recordRun(nowMillis)
        val servers = index().entries.toList()
        val figures = ArrayList<ServerFigure>()
        val samples = ArrayList<ServerSamples>()
        // Starts with another server each time, so that the limit leaves out none for long.
        offset++
        for (number in servers.indices) {
            if (figures.size >= MAX_FIGURES || samples.size >= MAX_SAMPLES) break
            val (key, backend) = servers[(number + offset * MAX_FIGURES) % servers.size]
            val load = loadOf(backend)
            if (load.isReporting(nowMillis)) collect(key, load, nowMillis, figures, samples)
        }
        return ServerObservations(figures, samples).takeUnless { it.isEmpty }
    }

    private fun collect(
        key: Int,
        load: BackendLoad,
        nowMillis: Long,
        figures: MutableList<ServerFigure>,
        samples: MutableList<ServerSamples>
    ) {
        load.takeNews(nowMillis)?.takeIf { it.ageMillis < MAX_AGE_MILLIS }?.let {
            figures += ServerFigure.of(key, it)
        }
        load.performance.takeSamples()?.forEachIndexed { loadClass, entry ->
            if (entry.count > 0) samples += ServerSamples(key, loadClass, entry)
        }
    }

    /** Applies the [news] that the leader has passed on. */
    public fun apply(news: ServerObservations) {
        val nowMillis = clock.monotonicMillis()
        news.figures.forEach { figure ->
            val backend = find(figure.key) ?: return@forEach
            val load =
                ReportedLoad(figure.running, figure.waiting, backend.slots, figure.pacePercent)
            loadOf(backend).reportShared(load, figure.ageMillis, nowMillis)
        }
        news.estimates.forEach { entry ->
            val backend = find(entry.key) ?: return@forEach
            loadOf(backend).performance.updateFleet(entry.estimate, nowMillis)
        }
    }

    private companion object {
        /** The leader passes news on at most as often. */
        const val INTERVAL_MILLIS = 200L

        /** Bounds the length of a report; an instance gets fewer responses in the interval. */
        const val MAX_FIGURES = 64
        const val MAX_SAMPLES = 64

        /** Older figures have no effect at others. */
        const val MAX_AGE_MILLIS = 2_000L
    }
}
