package mustarddale.key

import java.security.MessageDigest
import java.util.HexFormat

/** Digests, the only form in which keys and bodies are kept or compared. */
public object Sha256 {
    /** The SHA-256 digest of [text] in lower-case hexadecimal digits. */
    public fun of(text: String): String = of(text.toByteArray())

    /** The SHA-256 digest of [bytes] in lower-case hexadecimal digits. */
    public fun of(bytes: ByteArray): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes))
}
