/*
 * The configuration of Log4j. It is code instead of a file because finding and reading a file, with
 * the plugins that it names, takes a large part of an instance's start.
 */
package mustarddale.cli.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.appender.AsyncAppender
import org.apache.logging.log4j.core.appender.ConsoleAppender
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.AppenderRef
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.config.Configurator
import org.apache.logging.log4j.core.config.LoggerConfig

/**
 * Writes JSON lines through a bounded queue, which drops lines instead of blocking. Two system
 * properties select the target ([TARGET_PROPERTY]) and the lowest level ([LEVEL_PROPERTY]).
 */
internal class ProgramLogging : AbstractConfiguration(null, ConfigurationSource.NULL_SOURCE) {
    init {
        name = "program"
        isShutdownHookEnabled = false
    }

    override fun doConfigure() {
        val console = ConsoleAppender.newBuilder()
            .setName(CONSOLE)
            .setConfiguration(this)
            .setTarget(target())
            .setLayout(JsonLineLayout())
            .build()
        val queue = AsyncAppender.newBuilder()
            .setName(QUEUE)
            .setConfiguration(this)
            .setAppenderRefs(arrayOf(AppenderRef.createAppenderRef(CONSOLE, null, null)))
            .setBufferSize(QUEUE_LINES)
            .setBlocking(false)
            .build()
        addAppender(console)
        addAppender(queue)
        LIBRARIES.forEach { addLogger(it, LoggerConfig(it, Level.WARN, true)) }
        rootLogger.level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO)
        rootLogger.addAppender(queue, null, null)
    }

    private fun target(): ConsoleAppender.Target {
        val name = System.getProperty(TARGET_PROPERTY)
        return ConsoleAppender.Target.entries.find { it.name == name }
            ?: ConsoleAppender.Target.SYSTEM_ERR
    }

    companion object {
        /** Name of the system property with the target: `SYSTEM_OUT` or `SYSTEM_ERR`. */
        const val TARGET_PROPERTY: String = "mustarddale.log.target"

        /** Name of the system property with the lowest level that is written. */
        const val LEVEL_PROPERTY: String = "mustarddale.log"

        private const val CONSOLE = "lines"
        private const val QUEUE = "bounded"
        private const val QUEUE_LINES = 2_048
        private val LIBRARIES = listOf("com.linecorp.armeria", "io.netty")

        /** Sets logging up; to be called before the first logger is created. */
        fun install() {
            Configurator.initialize(ProgramLogging())
        }
    }
}
