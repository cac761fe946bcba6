package mustarddale.memory

import kotlinx.serialization.Serializable

/** The operation that an order asks an engine to perform. */
@Serializable
public enum class OrderKind { LOAD, UNLOAD }
