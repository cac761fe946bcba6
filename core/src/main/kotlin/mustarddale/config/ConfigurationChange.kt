/*
 * The changes that an operator can request. Only replacing the whole document requires a base
 * revision; the other changes need none, so that a concurrent change never makes them fail.
 */
package mustarddale.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import mustarddale.error.ErrorKind
import mustarddale.error.Outcome
import mustarddale.error.failure

/** One change to the configuration. */
@Serializable
public sealed interface ConfigurationChange {
    /** Whether the change must specify the revision that it is based on. */
    public val needsBaseRevision: Boolean

    /** Returns [configuration] with this change applied, or the reason why it is invalid. */
    public fun applyTo(configuration: Configuration): Outcome<Configuration>

    /** Replaces the whole document with [configuration]. */
    @Serializable
    @SerialName("replace")
    public data class Replace(public val configuration: Configuration) : ConfigurationChange {
        override val needsBaseRevision: Boolean get() = true

        override fun applyTo(configuration: Configuration): Outcome<Configuration> =
            validated(this.configuration)
    }

    /** Adds [key] to the client account named [account]. */
    @Serializable
    @SerialName("issueKey")
    public data class IssueKey(public val account: String, public val key: ApiKey) :
        ConfigurationChange {
        override val needsBaseRevision: Boolean get() = false

        override fun applyTo(configuration: Configuration): Outcome<Configuration> {
            if (configuration.clientAccounts.none { it.name == account }) {
                return notFound("account", account)
            }
            val accounts = configuration.clientAccounts.map {
                if (it.name == account) it.copy(keys = it.keys + key) else it
            }
            return validated(configuration.copy(clientAccounts = accounts))
        }
    }

    /** Revokes the key with the digest [sha256]; a no-op if no account has it. */
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

    /** Takes the failure domain named [domain] out of service or puts it back. */
    @Serializable
    @SerialName("setDomain")
    public data class SetDomain(public val domain: String, public val state: Availability) :
        ConfigurationChange {
        override val needsBaseRevision: Boolean get() = false

        override fun applyTo(configuration: Configuration): Outcome<Configuration> {
            if (configuration.failureDomains.none { it.name == domain }) {
                return notFound("domain", domain)
            }
            val domains = configuration.failureDomains.map {
                if (it.name == domain) it.copy(state = state) else it
            }
            return Outcome.Success(configuration.copy(failureDomains = domains))
        }
    }

    /** Takes the backend server named [server] out of service or puts it back. */
    @Serializable
    @SerialName("setServer")
    public data class SetServer(public val server: String, public val state: Availability) :
        ConfigurationChange {
        override val needsBaseRevision: Boolean get() = false

        override fun applyTo(configuration: Configuration): Outcome<Configuration> {
            if (configuration.backendServers.none { it.name == server }) {
                return notFound("server", server)
            }
            val servers = configuration.backendServers.map {
                if (it.name == server) it.copy(state = state) else it
            }
            return Outcome.Success(configuration.copy(backendServers = servers))
        }
    }
}

private fun validated(configuration: Configuration): Outcome<Configuration> {
    val fault = ConfigurationValidator.validate(configuration).firstOrNull()
        ?: return Outcome.Success(configuration)
    return failure(ErrorKind.INVALID_REQUEST, "${fault.field}: ${fault.message}", fault.field)
}

private fun notFound(field: String, name: String): Outcome.Failure =
    failure(ErrorKind.INVALID_REQUEST, "$field: \"$name\" does not exist", field)
