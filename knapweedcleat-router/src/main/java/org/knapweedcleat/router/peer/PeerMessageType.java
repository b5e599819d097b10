package org.knapweedcleat.router.peer;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;

/** The messages between instances and their codes on the wire; a code is never used again. */
public enum PeerMessageType {
  /** Begins a connection. */
  HELLO(1, Hello.class),
  /** Asks something. */
  QUESTION(2, Question.class),
  /** Answers a question. */
  ANSWER(3, Answer.class),
  /** Asks for a part of the document. */
  DOCUMENT_REQUEST(4, DocumentRequest.class),
  /** Brings a part of the document. */
  DOCUMENT_PART(5, DocumentPart.class),
  /** Asks for a placement. */
  PLACEMENT_REQUEST(20, PlacementRequest.class),
  /** Places a split request. */
  PLACEMENT_SPLIT(21, PlacementDecision.Split.class),
  /** Places a plain call. */
  PLACEMENT_PLAIN(22, PlacementDecision.Plain.class),
  /** Refuses a request. */
  PLACEMENT_REFUSED(23, PlacementDecision.Refused.class),
  /** Reports how far a placement has come. */
  PLACEMENT_PROGRESS(24, PlacementProgress.class);

  private static final Map<Short, PeerMessageType> BY_CODE = new HashMap<>();
  private static final Map<Class<?>, PeerMessageType> BY_CLASS = new HashMap<>();

  static {
    for (PeerMessageType type : values()) {
      BY_CODE.put(type.code, type);
      BY_CLASS.put(type.messageClass, type);
    }
  }

  private final short code;
  private final Class<? extends PeerMessage> messageClass;

  PeerMessageType(int code, Class<? extends PeerMessage> messageClass) {
    this.code = (short) code;
    this.messageClass = messageClass;
  }

  /**
   * Returns the type of a message.
   *
   * @param message the message
   * @return its type
   * @throws IllegalArgumentException if the message's class has no type
   */
  public static PeerMessageType of(PeerMessage message) {
    PeerMessageType type = BY_CLASS.get(message.getClass());
    if (type == null) {
      throw new IllegalArgumentException("no type for " + message.getClass().getName());
    }
    return type;
  }

  /**
   * Returns the type with a code.
   *
   * @param code the code on the wire
   * @return the type, if there is one
   */
  public static Option<PeerMessageType> ofCode(short code) {
    return Option.of(BY_CODE.get(code));
  }

  /**
   * Returns the code on the wire.
   *
   * @return the code
   */
  public short code() {
    return code;
  }

  /**
   * Returns the class of the messages of this type.
   *
   * @return the class
   */
  public Class<? extends PeerMessage> messageClass() {
    return messageClass;
  }
}
