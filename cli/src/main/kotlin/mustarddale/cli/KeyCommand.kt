package mustarddale.cli

import java.security.SecureRandom
import java.util.Base64
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import mustarddale.config.ApiKey
import mustarddale.config.ConfigurationChange
import mustarddale.key.Sha256

/** Issues and withdraws keys. */
@OptIn(ExperimentalCli::class)
internal class KeyCommand :
    Subcommand("key", "Issue or withdraw a key. Example: key issue acme a") {
    init {
        subcommands(Issue(), Withdraw())
    }

    override fun execute() = Unit

    private class Issue :
        OperatorCommand(
            "issue",
            "Issue a key and print it once. Example: key issue acme till-2"
        ) {
        private val account by argument(ArgType.String, description = "The client account")
        private val keyName by argument(ArgType.String, "name", "A name for the key")

        override fun execute() {
            val bytes = ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes)
            val key = "md-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
            val stored = ApiKey(keyName, Sha256.of(key))
            client.change(ConfigurationChange.IssueKey(account, stored))
            println(key)
        }
    }

    private class Withdraw :
        OperatorCommand(
            "withdraw",
            "Withdraw a key by itself or its digest. Example: key withdraw md-..."
        ) {
        private val key by argument(ArgType.String, description = "The key, or its SHA-256 digest")

        override fun execute() {
            val digest = if (DIGEST.matches(key)) key else Sha256.of(key)
            println(client.change(ConfigurationChange.WithdrawKey(digest)))
        }
    }

    private companion object {
        const val KEY_BYTES = 24
        val DIGEST = Regex("[0-9a-f]{64}")
    }
}
