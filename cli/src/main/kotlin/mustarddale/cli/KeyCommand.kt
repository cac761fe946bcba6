package mustarddale.cli

import java.security.SecureRandom
import java.util.Base64
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.config.ApiKey
import mustarddale.config.ConfigurationChange
import mustarddale.key.Sha256

/** Issues and withdraws API keys. */
@OptIn(ExperimentalCli::class)
internal class KeyCommand :
    Subcommand("key", "Issue or withdraw an API key. Example: key issue acme till-2") {
    init {
        subcommands(Issue(), Withdraw())
    }

    override fun execute() = Unit

    private class Issue :
        OperatorCommand(
            "issue",
            "Issue an API key and print it once. Example: key issue acme till-2"
        ) {
        private val account by argument(ArgType.String, description = "The client account")
        private val keyName by argument(ArgType.String, "name", "Name of the key")

        override fun execute() {
            val bytes = ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes)
            val key = "md-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
            val apiKey = ApiKey(keyName, Sha256.of(key))
            client.change(ConfigurationChange.IssueKey(account, apiKey))
            println(key)
        }
    }

    private class Withdraw :
        OperatorCommand(
            "withdraw",
            "Withdraw an API key, given the key or its digest. Example: key withdraw md-..."
        ) {
        private val key by argument(ArgType.String, description = "The key, or its SHA-256 digest")

        override fun execute() {
            val digest = if (DIGEST_PATTERN.matches(key)) key else Sha256.of(key)
            println(client.change(ConfigurationChange.WithdrawKey(digest)))
        }
    }

    private companion object {
        const val KEY_BYTES = 24
        val DIGEST_PATTERN = Regex("[0-9a-f]{64}")
    }
}
