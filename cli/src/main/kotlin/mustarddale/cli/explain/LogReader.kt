package mustarddale.cli.explain

import java.io.BufferedReader
import java.io.File

/** Reads decisions from log files. */
internal object LogReader {
    /** Returns the decisions in [files], or in standard input if [files] is empty. */
    fun read(files: List<String>): List<LogLine> = if (files.isEmpty()) {
        System.`in`.bufferedReader().use { read(it, "-") }
    } else {
        files.flatMap { name -> File(name).bufferedReader().use { read(it, File(name).name) } }
    }

    /** Returns the decisions in a log; [defaultInstance] stands in for an unknown instance ID. */
    fun read(reader: BufferedReader, defaultInstance: String): List<LogLine> {
        var instance = defaultInstance
        return reader.lineSequence().mapNotNull { text ->
            LogLine.parse(text, instance)?.also { line ->
                // A process logs its instance ID when it starts.
                if (line.event == "started") instance = line.fields["instance"] ?: instance
            }
        }.toList()
    }
}
