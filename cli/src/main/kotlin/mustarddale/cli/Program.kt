package mustarddale.cli

/** Name and version of the program. */
internal object Program {
    const val NAME = "mustarddale"
    const val VERSION = "0.1.0"
}
