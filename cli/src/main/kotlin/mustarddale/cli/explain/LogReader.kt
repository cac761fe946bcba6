package mustarddale.cli.explain

import java.io.BufferedReader
import java.io.File

/** Reads decisions from logs. */
internal object LogReader {
    /** Returns the decisions in [files], or in the standard input if there are none. */
    fun read(files: List<String>): List<LogLine> = if (files.isEmpty()) {
        System.`in`.bufferedReader().use { read(it, "-") }
    } else {
        files.flatMap { name -> File(name).bufferedReader().use { read(it, File(name).name) } }
    }

    /** Returns the decisions in a log of any instances; [name] stands for an unknown one. */
    fun read(reader: BufferedReader, name: String): List<LogLine> {
        var source = name
        return reader.lineSequence().mapNotNull { text ->
            LogLine.parse(text, source)?.also { line ->
                // A process names its instance when it starts.
                if (line.event == "started") source = line.fields["instance"] ?: source
            }
        }.toList()
    }
}
