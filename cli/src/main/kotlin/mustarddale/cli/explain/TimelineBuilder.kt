/*
 * Selects the decisions that explain one request, engine or model from the logs of many instances:
 * the log lines about it and, for a request, the state changes shortly before it that can have
 * affected its outcome.
 */
package mustarddale.cli.explain

import java.time.Duration
import java.time.Instant

/** Selects the request, engine, model, window or service to explain. */
internal sealed interface LogQuery {
    /** Selects the request with [id]. */
    data class ByRequest(val id: String) : LogQuery

    /** Selects the backend server with [id]. */
    data class ByEngine(val id: String) : LogQuery

    /** Selects the model with [name], with or without an adapter. */
    data class ByModel(val name: String) : LogQuery

    /** Selects the usage reports of the window [number], and the changes of leaders around them. */
    data class ByWindow(val number: String) : LogQuery

    /** Selects the orders for the number of engines of the service [name]. */
    data class ByService(val name: String) : LogQuery
}

/** A log line of a timeline; [isMatch] is false for a line that only gives context. */
internal data class TimelineEntry(val line: LogLine, val isMatch: Boolean)

/** Builds timelines from [lines], which can be in any order. */
internal class TimelineBuilder(lines: List<LogLine>) {
    private val lines = lines.sortedBy { it.time }

    /** Returns the timeline for [query], sorted by time; empty if no line matches. */
    fun build(query: LogQuery): List<TimelineEntry> = when (query) {
        is LogQuery.ByRequest -> requestTimeline(query.id)

        is LogQuery.ByEngine ->
            lines.filter { it.server == query.id }.map { TimelineEntry(it, isMatch = true) }

        is LogQuery.ByModel ->
            lines.filter { it.concernsModel(query.name) }.map { TimelineEntry(it, isMatch = true) }

        is LogQuery.ByWindow -> withLeaders { it.fields["window"] == query.number }

        is LogQuery.ByService -> withLeaders {
            it.event in SCALING_EVENTS && it.fields["service"] == query.name
        }
    }

    /** Returns the lines that [match], and the changes of leaders shortly before and between. */
    private fun withLeaders(match: (LogLine) -> Boolean): List<TimelineEntry> {
        val matches = lines.filter(match)
        if (matches.isEmpty()) return emptyList()
        val window = matches.first().time.minus(LEADER_WINDOW)..matches.last().time
        return lines.filter { match(it) || it.time in window && it.event in LEADER_EVENTS }
            .map { TimelineEntry(it, isMatch = match(it)) }
    }

    private fun requestTimeline(id: String): List<TimelineEntry> {
        val matches = lines.filter { it.request == id }
        if (matches.isEmpty()) return emptyList()
        val instances = matches.map { it.instance }.toSet()
        val servers = matches.mapNotNull { it.server }.toSet()
        val model = matches.firstNotNullOfOrNull { it.fields["wanted"] }?.substringBefore('/')
        val window = arrivalTime(matches).minus(CONTEXT_WINDOW)..matches.last().time
        val leaders = knownLeaders(instances, matches.last().time)
        return lines.filter { it.time in window && (it.request == null || it.request == id) }
            .filter { line ->
                val isRelated = line.instance in instances || line.instance in leaders
                line.request == id ||
                    line.instance in instances && line.event in INSTANCE_EVENTS ||
                    isRelated && line.server != null && line.server in servers ||
                    line.instance in leaders && model != null && line.concernsModel(model)
            }
            .map { TimelineEntry(it, isMatch = it.request == id) }
    }

    /** Returns when the request arrived; `afterMillis` is the delay from then to its log line. */
    private fun arrivalTime(matches: List<LogLine>): Instant = matches.minOf { line ->
        line.time.minusMillis(line.fields["afterMillis"]?.toLongOrNull() ?: 0)
    }

    /** Returns the leaders that [instances] knew at [time]. */
    private fun knownLeaders(instances: Set<String>, time: Instant): Set<String> {
        val events = lines.filter { it.time <= time && it.instance in instances }
            .filter { it.event == "leader_known" || it.event == "leader_won" }
        return instances.mapNotNull { instance ->
            val newest = events.lastOrNull { it.instance == instance } ?: return@mapNotNull null
            newest.fields["leader"] ?: newest.instance
        }.toSet()
    }

    private fun LogLine.concernsModel(model: String): Boolean {
        val wanted = fields["wanted"]
        if (wanted != null) return request == null && wanted.substringBefore('/') == model
        return (fields["models"].orEmpty() + fields["expectedAtMillis"].orEmpty())
            .split('{', '}', ',', '[', ']', ' ', '=')
            .any { it == model }
    }

    private companion object {
        /** Older state is the steady state, or a later line in the window reports it again. */
        val CONTEXT_WINDOW: Duration = Duration.ofSeconds(3)

        /** Longer than the usual time between the end of a window and its report. */
        val LEADER_WINDOW: Duration = Duration.ofSeconds(15)

        /** Events that change who calls the platform. */
        val LEADER_EVENTS = setOf(
            "leader_won",
            "leader_resigned",
            "leader_stepped_down",
            "clock_jumped",
            "usage_taken_over",
            "usage_abandoned",
            "duty_stopped",
            "leader_era"
        )

        val SCALING_EVENTS = setOf("engines_ordered", "scaling_unusable")

        /** Events that affect all requests at an instance. */
        val INSTANCE_EVENTS = setOf(
            "started", "leaving", "stopped", "settings_reloaded", "configuration_taken",
            "domains_closed", "clock_jumped", "dependency_lost", "dependency_regained",
            "leader_known", "leader_won", "leader_unreachable", "leader_resigned",
            "leader_stepped_down", "leader_append_failed", "link_silent", "link_ended",
            "shares_without_leader", "shares_lapsed", "lines_left_out"
        )
    }
}
