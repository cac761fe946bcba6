package mustarddale.cli

import kotlin.system.exitProcess
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import mustarddale.cli.demo.DemoCommand
import mustarddale.cli.logging.ProgramLogging

/** Runs the subcommand that [arguments] select. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    System.setProperty("com.linecorp.armeria.transportType", "epoll")
    ProgramLogging.install()
    val parser = ArgParser(Program.NAME)
    parser.subcommands(
        ServeCommand(),
        CheckCommand(),
        ConfigCommand(),
        KeyCommand(),
        AvailabilityCommand.forDomains(),
        AvailabilityCommand.forServers(),
        StatusCommand(),
        StandInCommand(),
        EntryCommand(),
        WarmUpCommand(),
        ExplainCommand(),
        DemoCommand(),
        VersionCommand()
    )
    if (arguments.isEmpty()) {
        parser.parse(arrayOf("--help"))
        exitProcess(ExitCode.USAGE.code)
    }
    parser.parse(arguments)
}
