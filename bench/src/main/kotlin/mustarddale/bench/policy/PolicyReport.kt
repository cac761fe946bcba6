package mustarddale.bench.policy

import mustarddale.routing.LeastInFlight
import mustarddale.routing.LoadBalancingPolicy
import mustarddale.routing.PowerOfTwoChoices
import mustarddale.routing.RoundRobin
import mustarddale.routing.ShortestQueue

/** Prints, for each scenario and policy, the users' measures as JSON lines. */
public class PolicyReport {
    private val policies: Map<String, LoadBalancingPolicy> = mapOf(
        "round robin" to RoundRobin,
        "least in flight" to LeastInFlight,
        "two choices" to PowerOfTwoChoices,
        "shortest queue" to ShortestQueue
    )

    /** Runs all. */
    public fun run() {
        Scenario.ALL.forEach { scenario ->
            policies.forEach { (name, policy) -> line(scenario, name, policy) }
        }
    }

    private fun line(scenario: Scenario, name: String, policy: LoadBalancingPolicy) {
        val tally = Fleet(scenario, policy, SEED).run()
        println(
            "{\"scenario\":\"${scenario.name}\",\"policy\":\"$name\",\"inTime\":${tally.inTime}," +
                "\"attainment\":%.4f,\"worst\":%.4f,\"best\":%.4f,\"refusedPart\":%.4f,".format(
                    tally.attainment,
                    tally.worst,
                    tally.best,
                    tally.refusedPart
                ) +
                "\"overRate\":${tally.overRate},\"mostWhileCold\":${tally.mostWhileCold}}"
        )
    }

    private companion object {
        const val SEED = 20261204L
    }
}
