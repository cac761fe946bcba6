package mustarddale.cli

import java.io.IOException
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import mustarddale.cli.explain.LogQuery
import mustarddale.cli.explain.LogReader
import mustarddale.cli.explain.TimelineBuilder
import mustarddale.cli.explain.TimelineFormat

/** Explains from decision logs what happened to a request, an engine, a model or a window. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand :
    Subcommand(
        "explain",
        "Explain from logs what happened to a request. Example: explain 9c41d07b a.log b.log"
    ) {
    private val engine by option(ArgType.String, "engine", description = "Engine to explain")
    private val model by option(ArgType.String, "model", description = "Model to explain")
    private val window by option(
        ArgType.String,
        "window",
        description = "Window of a usage report to explain"
    )
    private val service by option(
        ArgType.String,
        "service",
        description = "Service whose number of engines to explain"
    )
    private val isJson by option(ArgType.Boolean, "json", description = "Print JSON")
        .default(false)
    private val words by argument(
        ArgType.String,
        description = "Request ID (unless an option names another subject), then log files of " +
            "any number of instances; standard input if there are none"
    ).vararg().optional()

    override fun execute() {
        val flagQuery = engine?.let { LogQuery.ByEngine(it) } ?: model?.let { LogQuery.ByModel(it) }
            ?: window?.let { LogQuery.ByWindow(it) } ?: service?.let { LogQuery.ByService(it) }
        val query = flagQuery ?: words.firstOrNull()?.let { LogQuery.ByRequest(it) }
            ?: fail(
                "a request ID, --engine, --model, --window or --service is required",
                ExitCode.USAGE
            )
        val files = if (flagQuery == null) words.drop(1) else words
        val lines = try {
            LogReader.read(files)
        } catch (e: IOException) {
            fail("cannot read the logs: ${e.message}", ExitCode.UNREACHABLE)
        }
        val timeline = TimelineBuilder(lines).build(query)
        if (timeline.isEmpty()) fail("none of ${lines.size} decisions in the logs matches")
        println(if (isJson) TimelineFormat.toJson(timeline) else TimelineFormat.toText(timeline))
    }
}
