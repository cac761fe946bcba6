/*
 * Picks out of many instances' logs what explains one request, one engine or one model: the lines
 * about it, and the changes of belief shortly before that may have decided what became of it.
 */
package mustarddale.cli.explain

import java.time.Duration
import java.time.Instant

/** What is to be explained. */
internal sealed interface Subject {
    /** The request with [id]. */
    data class OfRequest(val id: String) : Subject

    /** The backend server with [id]. */
    data class OfEngine(val id: String) : Subject

    /** The model with [name], with or without an adapter. */
    data class OfModel(val name: String) : Subject
}

/** A line of a story; [isOwn] if it is about the subject itself. */
internal data class StoryLine(val line: LogLine, val isOwn: Boolean)

/** Tells stories from [lines], in any order. */
internal class Story(lines: List<LogLine>) {
    private val lines = lines.sortedBy { it.time }

    /** Returns the story of [subject] in the order of time, empty if no line is about it. */
    fun of(subject: Subject): List<StoryLine> = when (subject) {
        is Subject.OfRequest -> ofRequest(subject.id)

        is Subject.OfEngine ->
            lines.filter { it.server == subject.id }.map { StoryLine(it, isOwn = true) }

        is Subject.OfModel ->
            lines.filter { it.isAbout(subject.name) }.map { StoryLine(it, isOwn = true) }
    }

    private fun ofRequest(id: String): List<StoryLine> {
        val own = lines.filter { it.request == id }
        if (own.isEmpty()) return emptyList()
        val sources = own.map { it.source }.toSet()
        val servers = own.mapNotNull { it.server }.toSet()
        val model = own.firstNotNullOfOrNull { it.fields["wanted"] }?.substringBefore('/')
        val span = begin(own).minus(CONTEXT)..own.last().time
        val leaders = leaders(sources, own.last().time)
        return lines.filter { it.time in span && (it.request == null || it.request == id) }
            .filter { line ->
                val isNear = line.source in sources || line.source in leaders
                line.request == id ||
                    line.source in sources && line.event in INSTANCE_EVENTS ||
                    isNear && line.server != null && line.server in servers ||
                    line.source in leaders && model != null && line.isAbout(model)
            }
            .map { StoryLine(it, isOwn = it.request == id) }
    }

    /** When the request arrived: lines are written later, and tell how much. */
    private fun begin(own: List<LogLine>): Instant = own.minOf { line ->
        line.time.minusMillis(line.fields["afterMillis"]?.toLongOrNull() ?: 0)
    }

    /** The leader that each of [sources] knew of at [time]. */
    private fun leaders(sources: Set<String>, time: Instant): Set<String> {
        val known = lines.filter { it.time <= time && it.source in sources }
            .filter { it.event == "leader_known" || it.event == "leader_won" }
        return sources.mapNotNull { source ->
            val newest = known.lastOrNull { it.source == source } ?: return@mapNotNull null
            newest.fields["leader"] ?: newest.source
        }.toSet()
    }

    private fun LogLine.isAbout(model: String): Boolean {
        val wanted = fields["wanted"]
        if (wanted != null) return request == null && wanted.substringBefore('/') == model
        return (fields["models"].orEmpty() + fields["expectedAtMillis"].orEmpty())
            .split('{', '}', ',', '[', ']', ' ', '=')
            .any { it == model }
    }

    private companion object {
        /** A belief that is older has been told anew or is the usual state. */
        val CONTEXT: Duration = Duration.ofSeconds(3)

        /** What changes how an instance treats all requests. */
        val INSTANCE_EVENTS = setOf(
            "started", "leaving", "stopped", "settings_reloaded", "configuration_taken",
            "domains_closed", "clock_jumped", "dependency_lost", "dependency_regained",
            "leader_known", "leader_won", "leader_unreachable", "leader_resigned",
            "leader_stepped_down", "leader_append_failed", "link_silent", "link_ended",
            "shares_without_leader", "shares_lapsed", "lines_left_out"
        )
    }
}
