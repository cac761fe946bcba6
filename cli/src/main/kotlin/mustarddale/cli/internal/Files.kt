package mustarddale.cli.internal

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import mustarddale.cli.ExitCode
import mustarddale.cli.fail

/** Reads the file at [path], or prints an error and exits with [ExitCode.UNREACHABLE]. */
internal fun readFile(path: String): String = try {
    Files.readString(Path.of(path))
} catch (e: IOException) {
    fail("cannot read $path: ${e.message}", ExitCode.UNREACHABLE)
}
