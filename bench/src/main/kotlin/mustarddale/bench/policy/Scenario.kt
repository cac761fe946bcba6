package mustarddale.bench.policy

/**
 * What happens in a run.
 *
 * @property load part of the engines' capacity that is asked for.
 * @property slowEngines how many engines run at half speed.
 * @property reportLagMillis how old a report is when it arrives.
 * @property noisyFactor how many times its part the first account asks for.
 * @property coldFromMillis when the first engine turns cold, null for never.
 * @property outFromMillis when the first failure domain is taken out, null for never.
 * @property firstInstancePart the part of requests that the balancer gives the first instance.
 * @property surgeFactor by how much demand grows in the middle third of the run.
 */
public data class Scenario(
    public val name: String,
    public val load: Double = 0.7,
    public val slowEngines: Int = 0,
    public val reportLagMillis: Long = 200,
    public val noisyFactor: Double = 1.0,
    public val coldFromMillis: Long? = null,
    public val outFromMillis: Long? = null,
    public val firstInstancePart: Double = 1.0 / 3,
    public val surgeFactor: Double = 1.0
) {
    public companion object {
        private const val MINUTE = 60_000L

        /** All scenarios. */
        public val ALL: List<Scenario> = listOf(
            Scenario("steady"),
            Scenario("two engines at half speed", load = 0.6, slowEngines = 2),
            Scenario("reports 3 s late", reportLagMillis = 2_900),
            Scenario("balancer prefers one instance", firstInstancePart = 0.8),
            Scenario("one account at six times its part", noisyFactor = 6.0),
            Scenario("an engine turns cold", load = 0.6, coldFromMillis = MINUTE),
            Scenario("a domain out and back", load = 0.5, outFromMillis = MINUTE),
            Scenario("twice the demand, then back", load = 0.6, surgeFactor = 2.0)
        )
    }
}
