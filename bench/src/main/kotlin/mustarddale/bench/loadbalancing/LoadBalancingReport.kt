package mustarddale.bench.loadbalancing

import mustarddale.routing.LeastInFlight
import mustarddale.routing.LoadBalancingPolicy
import mustarddale.routing.PowerOfTwoChoices
import mustarddale.routing.RoundRobin
import mustarddale.routing.ShortestQueue

/** Prints latency attainment and refusals for each scenario and load-balancing policy. */
public class LoadBalancingReport {
    private val policies: Map<String, LoadBalancingPolicy> = mapOf(
        "round robin" to RoundRobin,
        "least in flight" to LeastInFlight,
        "two choices" to PowerOfTwoChoices,
        "shortest queue" to ShortestQueue
    )

    /** Simulates every combination of scenario and policy. */
    public fun run() {
        Scenario.ALL.forEach { scenario ->
            policies.forEach { (name, policy) -> printResult(scenario, name, policy) }
        }
    }

    private fun printResult(scenario: Scenario, name: String, policy: LoadBalancingPolicy) {
        val result = PolicySimulation(scenario, policy, SEED).run()
        println(
            "{\"scenario\":\"${scenario.name}\",\"policy\":\"$name\",\"inTime\":${result.inTime}," +
                "\"attainment\":%.4f,\"worst\":%.4f,\"best\":%.4f,\"refusedPart\":%.4f,".format(
                    result.attainment,
                    result.lowestAttainment,
                    result.highestAttainment,
                    result.refusedShare
                ) +
                "\"overRate\":${result.overRate},\"mostWhileCold\":${result.maxInFlightWhileCold}}"
        )
    }

    private companion object {
        const val SEED = 20261204L
    }
}
