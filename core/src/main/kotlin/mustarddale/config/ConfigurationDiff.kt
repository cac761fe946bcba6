package mustarddale.config

/** Describes the differences between two configurations in human-readable lines. */
public object ConfigurationDiff {
    /** Returns one line for each item that [after] adds, removes or changes. */
    public fun describe(before: Configuration, after: Configuration): List<String> = buildList {
        addAll(changes("failure domain", before.failureDomains, after.failureDomains) { it.name })
        addAll(changes("client account", before.clientAccounts, after.clientAccounts) { it.name })
        addAll(changes("service", before.services, after.services) { it.name })
        addAll(changes("model", modelsOf(before), modelsOf(after)) { it.name })
        addAll(changes("backend server", before.backendServers, after.backendServers) { it.name })
        if (before.limits != after.limits) add("change limits: ${before.limits} -> ${after.limits}")
    }

    private fun modelsOf(configuration: Configuration): List<Model> =
        configuration.services.flatMap { it.models }

    private fun <T> changes(
        kind: String,
        before: List<T>,
        after: List<T>,
        nameOf: (T) -> String
    ): List<String> {
        val old = before.associateBy(nameOf)
        val new = after.associateBy(nameOf)
        return (new.keys - old.keys).map { "add $kind $it" } +
            (old.keys - new.keys).map { "remove $kind $it" } +
            new.keys.filter { it in old && old[it] != new[it] }.map { "change $kind $it" }
    }
}
