package mustarddale.bench.loadbalancing

/**
 * The workload and the disturbances of one simulation run.
 *
 * @property load the demand as a share of the capacity of all engines.
 * @property slowEngines the number of engines that run at half speed.
 * @property reportLagMillis the age of a load report when it reaches the instances.
 * @property firstAccountFactor by how much the demand of the first account is multiplied.
 * @property coldFromMillis when the first engine enters its cold state, null for never.
 * @property domainOutFromMillis when the first failure domain is out of service, null for never.
 * @property firstInstanceShare the share of requests that arrive at the first instance.
 * @property surgeFactor by how much the demand is multiplied in the middle third of the run.
 */
public data class Scenario(
    public val name: String,
    public val load: Double = 0.7,
    public val slowEngines: Int = 0,
    public val reportLagMillis: Long = 200,
    public val firstAccountFactor: Double = 1.0,
    public val coldFromMillis: Long? = null,
    public val domainOutFromMillis: Long? = null,
    public val firstInstanceShare: Double = 1.0 / 3,
    public val surgeFactor: Double = 1.0
) {
    public companion object {
        private const val MINUTE_MILLIS = 60_000L

        /** All scenarios, by the names under which docs/DESIGN.md lists their results. */
        public val ALL: List<Scenario> = listOf(
            Scenario("steady"),
            Scenario("two engines at half speed", load = 0.6, slowEngines = 2),
            Scenario("reports 3 s late", reportLagMillis = 2_900),
            Scenario("balancer prefers one instance", firstInstanceShare = 0.8),
            Scenario("one account at six times its normal demand", firstAccountFactor = 6.0),
            Scenario("an engine turns cold", load = 0.6, coldFromMillis = MINUTE_MILLIS),
            Scenario(
                "a failure domain out of service, then back",
                load = 0.5,
                domainOutFromMillis = MINUTE_MILLIS
            ),
            Scenario("twice the demand, then back", load = 0.6, surgeFactor = 2.0)
        )
    }
}
