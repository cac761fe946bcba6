package mustarddale.standin.internal

import com.linecorp.armeria.client.WebClient
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import mustarddale.standin.EngineSetup

/** The simulated accelerator memory of an engine, which load and unload orders change. */
public class EngineMemory(private val setup: EngineSetup) {
    private val bytesByArtifact = ConcurrentHashMap(setup.preloaded)
    private val loadedArtifacts = ConcurrentHashMap.newKeySet<String>().apply {
        addAll(setup.preloaded.keys)
    }
    private val weightsClient = setup.weightsUrl?.let { WebClient.of(it) }

    /** The fencing token of the last order that it accepted. */
    @Volatile
    public var appliedFence: Long = 0
        private set

    /** The largest number of bytes that artifacts occupied at the same time. */
    @Volatile
    public var peakHeldBytes: Long = 0
        private set

    /** Returns the artifacts that are loaded and can serve requests, sorted by name. */
    public fun readyArtifacts(): List<String> = loadedArtifacts.sorted()

    /** Returns the artifacts that occupy memory, loading ones included, with their sizes. */
    public fun heldBytes(): Map<String, Long> = bytesByArtifact.toMap()

    /** Applies a load or unload order; returns false if its fencing token is too old. */
    @Synchronized
    public fun applyOrder(kind: String, artifact: String, bytes: Long, fence: Long): Boolean {
        if (setup.checksFencing && fence <= appliedFence) return false
        appliedFence = fence
        if (kind == "UNLOAD") {
            loadedArtifacts.remove(artifact)
            bytesByArtifact.remove(artifact)
            return true
        }
        bytesByArtifact[artifact] = bytes
        peakHeldBytes = maxOf(peakHeldBytes, bytesByArtifact.values.sum())
        scheduleLoad(artifact)
        return true
    }

    private fun scheduleLoad(artifact: String) {
        timer.schedule({ load(artifact) }, setup.loadMillis, TimeUnit.MILLISECONDS)
    }

    private fun load(artifact: String) {
        if (!bytesByArtifact.containsKey(artifact)) return
        val client = weightsClient
        if (client == null) {
            loadedArtifacts.add(artifact)
            return
        }
        client.get("/v1/weights/$artifact").aggregate().handle { response, _ ->
            if (response?.status()?.isSuccess == true) {
                if (bytesByArtifact.containsKey(artifact)) loadedArtifacts.add(artifact)
            } else {
                timer.schedule({ load(artifact) }, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        const val RETRY_DELAY_MILLIS = 100L
        val timer = Executors.newSingleThreadScheduledExecutor {
            Thread(it, "engine-loads").apply { isDaemon = true }
        }
    }
}
