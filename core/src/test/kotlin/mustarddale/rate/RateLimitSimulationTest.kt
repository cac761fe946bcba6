package mustarddale.rate

import java.util.Random
import net.jqwik.api.AfterFailureMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode

class RateLimitSimulationTest {
    @Property(
        seed = "20261204",
        tries = 300,
        shrinking = ShrinkingMode.OFF,
        afterFailure = AfterFailureMode.RANDOM_SEED
    )
    fun `no sequence of faults lets an account exceed its rate and burst`(@ForAll seed: Long) {
        val simulation = RateLimitSimulation(Random(seed), leaseMillis = 20_000)
        repeat(800) { simulation.step() }
    }
}
