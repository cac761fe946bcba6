package mustarddale.routing

import mustarddale.key.Sha256

/**
 * Rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998): each item belongs to the owner with the highest hash, so a lost owner moves only its own.
 */
public object RendezvousHashing {
    /** Returns which of [owners] has [item], null if there are none. */
    public fun owner(item: String, owners: Collection<String>): String? =
        owners.maxByOrNull { Sha256.of("$item\n$it") }

    /** Returns the slot, of [totalSlots], to which [item] belongs. */
    public fun slotOf(item: String, totalSlots: Int): Int =
        Sha256.of(item).take(DIGITS).toInt(HEX) % totalSlots

    private const val DIGITS = 7
    private const val HEX = 16
}
