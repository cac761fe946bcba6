package mustarddale.instance.serving

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import mustarddale.instance.serving.settings.ServingSettings
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.backend.Backend
import mustarddale.serving.backend.BackendAddress
import mustarddale.serving.backend.BackendLoad
import mustarddale.serving.backend.ModelRef
import mustarddale.serving.backend.RequestOutcome
import mustarddale.serving.config.CallerLimits
import mustarddale.serving.config.ServiceConfig
import mustarddale.serving.config.ServingConfiguration
import mustarddale.serving.retry.RetryLimits
import mustarddale.time.Clock

class ServingStateTest {
    private var nowMillis = 10_000L
    private val clock = object : Clock {
        override fun monotonicMillis() = nowMillis

        override fun wallMillis() = nowMillis
    }
    private val settings = ServingSettings(
        instance = "front-1",
        host = "127.0.0.1",
        failureDomain = "a",
        callerPort = 1,
        readyPort = 2,
        peerPort = 3,
        metricsPort = 4,
        store = BackendAddress("127.0.0.1", 5),
        retryLimits = RetryLimits(windowMillis = 10_000, ratio = 0.2, allowance = 50.0),
        quotaSlackTokens = 7_000.0,
        termGraceMillis = 8_000,
        bufferBytes = 1_000_000,
        orderLeaseMillis = 3_000
    )

    private fun backend(id: String, domain: String) = Backend(
        id = id,
        service = "scribe",
        address = BackendAddress("10.0.0.1", 80),
        failureDomain = domain,
        version = "v1",
        slots = 10,
        isDraining = false,
        drainRemainingMillis = null,
        coldRemainingMillis = 0,
        models = persistentMapOf(),
        hostCachedModels = persistentSetOf(),
        diskCachedModels = persistentSetOf(),
        orderCount = 0,
        startUnixMillis = 1
    )

    private fun configuration() = ServingConfiguration(
        version = 1,
        routes = persistentListOf(),
        services = persistentMapOf("scribe" to ServiceConfig("scribe", "/health", 100, 12.0, null)),
        accounts = persistentMapOf(),
        limits = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    )

    /** Guards against models that are never loaded because an entry that is untrue names them. */
    @Test
    fun `a server that no request has reached does not count as a holder of models`() {
        data class Case(val name: String, val isHolder: Boolean, val use: (BackendLoad) -> Unit)

        val cases = listOf(
            Case("not used", isHolder = true) {},
            Case("not reached", isHolder = false) { it.recordReached(false, nowMillis) },
            Case("not reached some time ago", isHolder = true) {
                it.recordReached(false, nowMillis - 4_000)
            },
            Case("reached before", isHolder = true) {
                it.recordReached(true, nowMillis)
                it.recordReached(false, nowMillis)
            },
            Case("reached after that", isHolder = true) {
                it.recordReached(false, nowMillis)
                it.recordReached(true, nowMillis)
            },
            Case("lost a request that was sent", isHolder = true) {
                it.recordReached(true, nowMillis)
                it.recordOutcome(RequestOutcome.LOST, nowMillis)
            }
        )
        cases.forEach { case ->
            val state = ServingState(settings, clock)
            val models = persistentMapOf("m" to persistentSetOf<String>())
            val server = backend("i-a", "a").copy(models = models)
            state.apply(listOfNotNull(state.directory.put(server)))
            case.use(state.loadOf(server))
            val holder = state.candidates("scribe", ModelRef("m")).single().backend
            assertEquals(case.isHolder, holder.holds(ModelRef("m")), case.name)
        }
    }

    @Test
    fun `servers of a failure domain that returns are not flooded before they say they are cold`() {
        val state = ServingState(settings, clock)
        state.configure(configuration())
        state.apply(listOf("a", "b").mapNotNull { state.directory.put(backend("i-$it", it)) })
        state.updateDrainingDomains { add("b") }
        nowMillis += 5_000
        state.updateDrainingDomains { remove("b") }
        listOf(
            0L to setOf("i-b"),
            1_999L to setOf("i-b"),
            2_000L to emptySet()
        ).forEach { (afterMillis, expected) ->
            val atMillis = nowMillis + afterMillis
            val cold = state.candidates("scribe", null).filter { it.load.isCold(atMillis) }
            assertEquals(expected, cold.map { it.backend.id }.toSet(), "after $afterMillis ms")
        }
    }
}
