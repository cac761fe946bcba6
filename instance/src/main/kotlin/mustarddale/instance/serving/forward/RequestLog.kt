package mustarddale.instance.serving.forward

import io.micrometer.core.instrument.Metrics
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.Locale
import java.util.concurrent.TimeUnit
import mustarddale.instance.serving.DecisionLog
import mustarddale.serving.backend.Choice
import mustarddale.time.Clock

/** Logs and measures what becomes of [request], which was admitted under [version]. */
internal class RequestLog(
    private val request: Admitted,
    private val version: Long?,
    private val clock: Clock
) {
    private var firstMillis: Long? = null

    /** How long the request has waited for its model, in milliseconds. */
    var waitedMillis: Long = 0

    /** The backend servers that the request has reached. */
    var arrivals: Int = 0
        private set

    /**
     * Notes how the sending to the server [chosen] at [sentMillis] began.
     *
     * @param toldAgeMillis how old the load was that the server had told.
     */
    fun sent(chosen: Choice.Chosen, toldAgeMillis: Long?, start: ExchangeStart, sentMillis: Long) {
        val nowMillis = clock.monotonicMillis()
        if (start !is ExchangeStart.NotSent) arrivals++
        if (start is ExchangeStart.Answered && firstMillis == null) {
            firstMillis = nowMillis - request.arrivedAtMillis
        }
        DecisionLog.recordRequest(
            "sent",
            request.head.requestId,
            isGood = start is ExchangeStart.Answered && !start.headers.status().isServerError,
            "backend" to chosen.backend.id,
            "cost" to "%.3f".format(Locale.ROOT, chosen.cost),
            "open" to chosen.open,
            "holders" to chosen.holders,
            "toldAgeMillis" to toldAgeMillis,
            "wanted" to request.head.requestedModel,
            "tookMillis" to nowMillis - sentMillis,
            "outcome" to outcomeOf(start)
        )
    }

    /** Notes that the caller has its whole answer, with [status]. */
    fun finished(status: String) {
        firstMillis?.let { firstByteTimer().record(it, TimeUnit.MILLISECONDS) }
        ended("finished", status, isGood = !status.startsWith("5"))
    }

    /** Notes that the request ended by [event]. */
    fun ended(event: String, reason: String, isGood: Boolean = false) {
        DecisionLog.recordRequest(
            event,
            request.head.requestId,
            isGood,
            "route" to request.route.name,
            "service" to request.service,
            "wanted" to request.head.requestedModel,
            "account" to request.account?.name,
            "tokens" to request.tokens.toLong(),
            "reason" to reason,
            "afterMillis" to clock.monotonicMillis() - request.arrivedAtMillis,
            "waitedMillis" to waitedMillis,
            "firstMillis" to firstMillis,
            "arrivals" to arrivals,
            "version" to version
        )
    }

    private fun outcomeOf(start: ExchangeStart): String = when (start) {
        is ExchangeStart.Answered -> start.headers.status().codeAsText()
        is ExchangeStart.NotRun -> if (start.isAbsent) "not here" else "not run"
        is ExchangeStart.NotSent -> "not sent: ${start.reason}"
        is ExchangeStart.Lost -> "lost: ${start.reason}"
    }

    /** From a request's arrival to the head of its answer. */
    private fun firstByteTimer(): Timer = Timer.builder("mustarddale.first.byte")
        .tag("service", request.service)
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(1))
        .maximumExpectedValue(Duration.ofSeconds(MAX_SECONDS))
        .register(Metrics.globalRegistry)

    private companion object {
        /** Callers wait 20 s at most. */
        const val MAX_SECONDS = 20L
    }
}
