package mustarddale.serving.backend

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import kotlinx.collections.immutable.toImmutableSet

internal object BackendFixtures {
    fun backend(
        id: String,
        models: Map<String, Set<String>> = emptyMap(),
        domain: String = "a",
        isDraining: Boolean = false,
        startUnixMillis: Long = 1
    ) = Backend(
        id = id,
        service = "scribe",
        address = BackendAddress("10.0.0.1", 80),
        failureDomain = domain,
        version = "v1",
        slots = 10,
        isDraining = isDraining,
        drainRemainingMillis = null,
        coldRemainingMillis = 0,
        models = models.mapValues { it.value.toImmutableSet() }.toImmutableMap(),
        hostCachedModels = persistentSetOf(),
        diskCachedModels = persistentSetOf(),
        orderCount = 0,
        startUnixMillis = startUnixMillis
    )
}
