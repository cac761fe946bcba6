package mustarddale.standin.internal

import com.linecorp.armeria.client.WebClient
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import mustarddale.standin.EngineSetup

/** The accelerator memory of an engine stand-in. */
public class EngineMemory(private val setup: EngineSetup) {
    private val held = ConcurrentHashMap(setup.preloaded)
    private val ready = ConcurrentHashMap.newKeySet<String>().apply { addAll(setup.preloaded.keys) }
    private val weights = setup.weightsUrl?.let { WebClient.of(it) }

    /** The number of the last order that was taken. */
    @Volatile
    public var lastOrder: Long = 0
        private set

    /** The most bytes that were ever held at the same time. */
    @Volatile
    public var peakHeldBytes: Long = 0
        private set

    /** Artifacts that can serve. */
    public fun ready(): List<String> = ready.sorted()

    /** Artifacts that take memory, with their bytes. */
    public fun held(): Map<String, Long> = held.toMap()

    /** Takes an order; false if it refuses it for its fencing number. */
    @Synchronized
    public fun take(kind: String, artifact: String, bytes: Long, fence: Long): Boolean {
        if (setup.checksFencing && fence <= lastOrder) return false
        lastOrder = fence
        if (kind == "UNLOAD") {
            ready.remove(artifact)
            held.remove(artifact)
            return true
        }
        held[artifact] = bytes
        peakHeldBytes = maxOf(peakHeldBytes, held.values.sum())
        loadSoon(artifact)
        return true
    }

    private fun loadSoon(artifact: String) {
        timer.schedule({ load(artifact) }, setup.loadMillis, TimeUnit.MILLISECONDS)
    }

    private fun load(artifact: String) {
        if (!held.containsKey(artifact)) return
        val client = weights
        if (client == null) {
            ready.add(artifact)
            return
        }
        client.get("/v1/weights/$artifact").aggregate().handle { response, _ ->
            if (response?.status()?.isSuccess == true) {
                if (held.containsKey(artifact)) ready.add(artifact)
            } else {
                timer.schedule({ load(artifact) }, RETRY_MILLIS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        const val RETRY_MILLIS = 100L
        val timer = Executors.newSingleThreadScheduledExecutor {
            Thread(it, "engine-loads").apply { isDaemon = true }
        }
    }
}
