/*
 * The leader's orders for the number of engines in one term. Runs on the event loop.
 */
package mustarddale.instance.serving.leader

import mustarddale.instance.serving.DecisionLog
import mustarddale.instance.serving.settings.CloudDuty
import mustarddale.instance.serving.state.ServingState
import mustarddale.serving.config.ServiceConfig
import mustarddale.serving.leadership.LeadershipTerm
import mustarddale.serving.scaling.DemandMeter
import mustarddale.serving.scaling.DesiredEngines
import mustarddale.serving.scaling.DomainEngines
import mustarddale.serving.scaling.EngineOrderBook
import mustarddale.serving.scaling.EngineScaler
import mustarddale.serving.scaling.ScalingSpec
import mustarddale.serving.scaling.ServiceDemandPeak
import mustarddale.serving.usage.CallAnswer
import mustarddale.time.Clock
import mustarddale.time.MinInterval

/** Orders engines during the term [leadership] as the holder [instance]. */
internal class ScalingController(
    private val leadership: LeadershipTerm,
    private val state: ServingState,
    private val client: CloudClient,
    private val calls: CloudCalls,
    private val instance: String,
    private val clock: Clock
) {
    private val startedAtMillis = clock.wallMillis()
    private val services = HashMap<String, ScaledService>()
    private val orders = EngineOrderBook()
    private val planInterval = MinInterval(PLAN_INTERVAL_MILLIS)
    private val recorded = leadership.predecessor?.desiredEngines.orEmpty()

    /** Records the loads in an instance's report. */
    fun handleReport(report: LeaderMessage.Report, nowMillis: Long) {
        report.serviceLoads.forEach { load ->
            services[load.service]?.meter?.report(report.instance, load, nowMillis)
        }
    }

    /** Returns the planned numbers for the next leadership record. */
    fun planned(): List<DesiredEngines> = recorded.filter { it.service !in services } +
        services.flatMap { (service, scaled) ->
            scaled.scaler.planned.map { (domain, engines) ->
                DesiredEngines(service, domain, engines)
            }
        }

    /** Plans if it is time, and sends the most urgent order that may be sent. */
    fun tick(nowMillis: Long) {
        if (planInterval.waitMillis(nowMillis) == 0L) {
            planInterval.recordRun(nowMillis)
            plan(nowMillis)
        }
        val order = orders.due(nowMillis)
            .firstOrNull { calls.mayCall(CloudDuty.AUTOSCALE, subjectOf(it), nowMillis) } ?: return
        calls.start(
            CloudDuty.AUTOSCALE,
            subjectOf(order),
            { client.orderEngines(order, instance, leadership.term) }
        ) { answer, sentMillis -> handleAnswer(order, answer, sentMillis) }
    }

    private fun subjectOf(order: DesiredEngines): String = "${order.service}/${order.domain}"

    private fun plan(nowMillis: Long) {
        // Before the first configuration, nothing is known of any service.
        val configured = state.configuration?.services ?: return
        val scaled = configured.filterValues { it.scaling?.isUsable ?: false }
        services.keys.retainAll(scaled.keys)
        orders.want(scaled.values.flatMap { planService(it, checkNotNull(it.scaling), nowMillis) })
    }

    private fun planService(
        service: ServiceConfig,
        spec: ScalingSpec,
        nowMillis: Long
    ): List<DesiredEngines> {
        val scaled = services.getOrPut(service.name) { newService(service.name, nowMillis) }
        val engines = state.directory.backends.filter { it.service == service.name }
        val demand = ServiceDemandPeak(
            scaled.meter.peakSlots(nowMillis),
            scaled.meter.knowsLastMinute(nowMillis),
            engines.minOfOrNull { it.slots } ?: service.engine?.slots ?: 1
        )
        scaled.demand = demand
        val listed = engines.groupBy { it.failureDomain }.mapValues { (domain, inDomain) ->
            val draining = inDomain.count { it.isDraining }
            DomainEngines(inDomain.size - draining, draining, domain !in state.drainingDomains)
        }
        return scaled.scaler.plan(spec, demand, listed, nowMillis).map { (domain, desired) ->
            DesiredEngines(service.name, domain, desired)
        }
    }

    private fun newService(name: String, nowMillis: Long) =
        ScaledService(DemandMeter(nowMillis)).apply {
            scaler.takeOver(
                recorded.filter { it.service == name }.associate { it.domain to it.desired }
            )
        }

    private fun handleAnswer(order: DesiredEngines, answer: CallAnswer, sentMillis: Long) {
        val nowMillis = clock.monotonicMillis()
        orders.answered(order, answer, nowMillis)
        val demand = services[order.service]?.demand
        DecisionLog.record(
            "engines_ordered",
            "service" to order.service,
            "domain" to order.domain,
            "desired" to order.desired,
            "peakSlots" to demand?.peakSlots,
            "slotsPerEngine" to demand?.slotsPerEngine,
            "knowsLastMinute" to demand?.knowsLastMinute,
            "answer" to answer,
            "term" to leadership.term,
            "holderSinceMillis" to startedAtMillis,
            "tookMillis" to nowMillis - sentMillis
        )
    }

    private class ScaledService(val meter: DemandMeter) {
        val scaler = EngineScaler()
        var demand: ServiceDemandPeak? = null
    }

    private companion object {
        /** Engines take seconds to start. */
        const val PLAN_INTERVAL_MILLIS = 250L
    }
}
