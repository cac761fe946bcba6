/*
 * Measures one round of the leader's placement planning, which runs 20 times a second and whenever
 * a request waits for a model. The engines hold three of the models each, all instances have
 * reported demand, and requests wait for every eighth model.
 */
package mustarddale.bench

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableMap
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendAddress
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.config.EngineSpec
import mustarddale.serving.config.ModelSpec
import mustarddale.serving.residency.AdapterPlanner
import mustarddale.serving.residency.DemandSample
import mustarddale.serving.residency.EngineInventory
import mustarddale.serving.residency.EngineReport
import mustarddale.serving.residency.ModelDemand
import mustarddale.serving.residency.ResidencyPlanner

/** Prints the cost of a planning round by the size of the deployment. */
public class PlacementReport {
    /** Runs the benchmark. */
    public fun run(): Unit = SIZES.forEach { size ->
        val spec = spec(size)
        val engines = List(size.engines) { engine(it, size, spec) }
        val demand = demand(size)
        val modelPlanner = ResidencyPlanner(spec, demandSinceMillis = 0)
        val adapterPlanner = AdapterPlanner(spec)
        val models = Timing.measure { modelPlanner.plan(engines, demand, true, NOW_MILLIS) }
        val adapters = Timing.measure { adapterPlanner.plan(engines, demand, NOW_MILLIS) }
        println(
            """{"instances":${size.instances},"engines":${size.engines},""" +
                """"models":${size.models},""" +
                """"modelPlanMicros":${models.medianMicros.toInt()},""" +
                """"adapterPlanMicros":${adapters.medianMicros.toInt()}}"""
        )
    }

    private data class Size(val instances: Int, val engines: Int, val models: Int)

    private fun spec(size: Size) = EngineSpec(
        slots = 32,
        kvCacheTokens = 77_302,
        memoryMegabytes = 220_000.0,
        hostCacheMegabytes = 150_000.0,
        diskCacheMegabytes = 440_000.0,
        adapterSlots = 8,
        loadsPerSecond = 12.0,
        models = (0 until size.models).associate {
            "m$it" to ModelSpec("m$it", 70_000.0, 400, 840, 4_200, 66.0)
        }.toImmutableMap()
    )

    private fun engine(index: Int, size: Size, spec: EngineSpec): EngineInventory {
        val firstModel = index * MODELS_PER_ENGINE
        val held = List(MODELS_PER_ENGINE) { "m${(firstModel + it) % size.models}" }
        val inventory = EngineInventory(backend(index, spec))
        inventory.report(
            EngineReport(
                models = held.associateWith { persistentSetOf<String>() }.toImmutableMap(),
                loadingAdapters = persistentSetOf(),
                isBusy = false,
                orderCount = 0,
                running = 4,
                waiting = 0,
                hostCachedModels = persistentSetOf(),
                diskCachedModels = persistentSetOf()
            ),
            NOW_MILLIS,
            NOW_MILLIS
        )
        return inventory
    }

    private fun backend(index: Int, spec: EngineSpec) = Backend(
        id = "i-$index",
        service = "scribe",
        address = BackendAddress("10.0.0.1", index),
        failureDomain = "a",
        version = "v1",
        slots = spec.slots,
        isDraining = false,
        drainRemainingMillis = null,
        coldRemainingMillis = 0,
        models = persistentMapOf(),
        hostCachedModels = persistentSetOf(),
        diskCachedModels = persistentSetOf(),
        orderCount = 0,
        startUnixMillis = 0
    )

    private fun demand(size: Size): ModelDemand {
        val demand = ModelDemand()
        repeat(size.instances) { instance ->
            val samples = (0 until size.models).map {
                DemandSample(
                    ModelRef("m$it", "a${it % ADAPTERS}".takeIf { _ -> it % 2 == 0 }),
                    requests = 1,
                    tokens = 100.0,
                    waiting = if (it % WAITING_STEP == instance % WAITING_STEP) 1 else 0
                )
            }
            demand.report("front-$instance", samples, NOW_MILLIS)
        }
        return demand
    }

    private companion object {
        const val NOW_MILLIS = 20_000L
        const val MODELS_PER_ENGINE = 3
        const val ADAPTERS = 3
        const val WAITING_STEP = 8
        val SIZES = listOf(Size(8, 6, 18), Size(61, 42, 131), Size(73, 78, 155))
    }
}
