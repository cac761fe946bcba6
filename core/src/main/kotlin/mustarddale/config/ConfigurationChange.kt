/*
 * The changes that an operator can ask for. A change that only takes something away (a key, a
 * failure domain, a backend server) needs no base revision, so that it never loses a race.
 */
package mustarddale.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** One change of the configuration. */
@Serializable
public sealed interface ConfigurationChange {
    /** Whether the change must name the revision that it is based on. */
    public val needsBaseRevision: Boolean

    /** Returns [configuration] with this change, or why it cannot be made. */
    public fun applyTo(configuration: Configuration): Outcome<Configuration>

    /** Puts [configuration] in the place of the whole document. */
    @Serializable
    @SerialName("replace")
    public data class Replace(public val configuration: Configuration) : ConfigurationChange {
        override val needsBaseRevision: Boolean get() = true

        override fun applyTo(configuration: Configuration): Outcome<Configuration> =
            checked(this.configuration)
    }

    /** Adds [key] to the account called [account]. */
    @Serializable
    @SerialName("issueKey")
    public data class IssueKey(public val account: String, public val key: ApiKey) :
        ConfigurationChange {
        override val needsBaseRevision: Boolean get() = false

        override fun applyTo(configuration: Configuration): Outcome<Configuration> {
            if (configuration.clientAccounts.none { it.name == account }) {
                return missing("account", account)
            }
            val accounts = configuration.clientAccounts.map {
                if (it.name == account) it.copy(keys = it.keys + key) else it
            }
            return checked(configuration.copy(clientAccounts = accounts))
        }
    }

    /** Withdraws the key with the digest [sha256]; withdrawing it again changes nothing. */
    @Serializable
    @SerialName("withdrawKey")
    public data class WithdrawKey(public val sha256: String) : ConfigurationChange {
        override val needsBaseRevision: Boolean get() = false

        override fun applyTo(configuration: Configuration): Outcome<Configuration> {
            val accounts = configuration.clientAccounts.map { account ->
                account.copy(keys = account.keys.filterNot { it.sha256 == sha256 })
            }
            return Outcome.Success(configuration.copy(clientAccounts = accounts))
        }
    }

    /** Takes the failure domain called [domain] out, or brings it back. */
    @Serializable
    @SerialName("setDomain")
    public data class SetDomain(public val domain: String, public val state: Availability) :
        ConfigurationChange {
        override val needsBaseRevision: Boolean get() = false

        override fun applyTo(configuration: Configuration): Outcome<Configuration> {
            if (configuration.failureDomains.none { it.name == domain }) {
                return missing("domain", domain)
            }
            val domains = configuration.failureDomains.map {
                if (it.name == domain) it.copy(state = state) else it
            }
            return Outcome.Success(configuration.copy(failureDomains = domains))
        }
    }

    /** Marks the backend server called [server] as leaving, or brings it back. */
    @Serializable
    @SerialName("setServer")
    public data class SetServer(public val server: String, public val state: Availability) :
        ConfigurationChange {
        override val needsBaseRevision: Boolean get() = false

        override fun applyTo(configuration: Configuration): Outcome<Configuration> {
            if (configuration.backendServers.none { it.name == server }) {
                return missing("server", server)
            }
            val servers = configuration.backendServers.map {
                if (it.name == server) it.copy(state = state) else it
            }
            return Outcome.Success(configuration.copy(backendServers = servers))
        }
    }
}

private fun checked(configuration: Configuration): Outcome<Configuration> {
    val fault = ConfigurationValidator.validate(configuration).firstOrNull()
        ?: return Outcome.Success(configuration)
    return failure(ErrorKind.INVALID_REQUEST, "${fault.field}: ${fault.message}", fault.field)
}

private fun missing(field: String, name: String): Outcome.Failure =
    failure(ErrorKind.INVALID_REQUEST, "$field: there is none called \"$name\"", field)
