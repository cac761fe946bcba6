package mustarddale.key

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 digests; API keys and request bodies are only stored and compared in this form. */
public object Sha256 {
    /** Returns the SHA-256 digest of [text], encoded as UTF-8, in lower-case hexadecimal digits. */
    public fun of(text: String): String = of(text.toByteArray())

    /** Returns the SHA-256 digest of [bytes] in lower-case hexadecimal digits. */
    public fun of(bytes: ByteArray): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
}
