package mustarddale.config

/** Tells in lines for people what a change of the document changes. */
public object ConfigurationDiff {
    /** Returns one line for each part that [after] adds, removes or changes. */
    public fun describe(before: Configuration, after: Configuration): List<String> = buildList {
        addAll(parts("failure domain", before.failureDomains, after.failureDomains) { it.name })
        addAll(parts("client account", before.clientAccounts, after.clientAccounts) { it.name })
        addAll(parts("service", before.services, after.services) { it.name })
        addAll(parts("model", models(before), models(after)) { it.name })
        addAll(parts("backend server", before.backendServers, after.backendServers) { it.name })
        if (before.limits != after.limits) add("change limits: ${before.limits} -> ${after.limits}")
    }

    private fun models(configuration: Configuration): List<Model> =
        configuration.services.flatMap { it.models }

    private fun <T> parts(
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
