package mustarddale.cli

import java.io.IOException
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import mustarddale.cli.explain.LogReader
import mustarddale.cli.explain.Story
import mustarddale.cli.explain.StoryText
import mustarddale.cli.explain.Subject

/** Tells from logs what became of a request, an engine or a model, and why. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand :
    Subcommand(
        "explain",
        "Tell from logs what became of a request, and why. Example: explain 9c41d07b a.log b.log"
    ) {
    private val engine by option(ArgType.String, "engine", description = "Explain an engine")
    private val model by option(ArgType.String, "model", description = "Explain a model")
    private val isJson by option(ArgType.Boolean, "json", description = "Print JSON")
        .default(false)
    private val words by argument(
        ArgType.String,
        description = "The request's id (without --engine and --model), then files with logs of " +
            "any number of instances; none for the standard input"
    ).vararg().optional()

    override fun execute() {
        val named = engine?.let { Subject.OfEngine(it) } ?: model?.let { Subject.OfModel(it) }
        val subject = named ?: words.firstOrNull()?.let { Subject.OfRequest(it) }
            ?: fail("name a request, --engine or --model", ExitCode.USAGE)
        val files = if (named == null) words.drop(1) else words
        val lines = try {
            LogReader.read(files)
        } catch (e: IOException) {
            fail("the logs cannot be read: ${e.message}", ExitCode.UNREACHABLE)
        }
        val story = Story(lines).of(subject)
        if (story.isEmpty()) fail("none of ${lines.size} decisions is about it")
        println(if (isJson) StoryText.json(story) else StoryText.plain(story))
    }
}
