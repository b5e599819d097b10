package org.knapweedcleat.router.peer;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.knapweedcleat.core.limit.LimitMessage;
import org.knapweedcleat.core.membership.Heartbeat;
import org.knapweedcleat.core.message.PeerMessage;
import org.knapweedcleat.core.once.ForwardedAnswer;
import org.knapweedcleat.core.once.ForwardedCall;
import org.knapweedcleat.core.schedule.PlacementDecision;
import org.knapweedcleat.core.schedule.PlacementProgress;
import org.knapweedcleat.core.schedule.PlacementRequest;
import org.knapweedcleat.core.schedule.RunningClaims;
import org.knapweedcleat.router.forward.fleet.DirectoryResponse;
import org.knapweedcleat.router.forward.fleet.DirectoryRequest;
import org.knapweedcleat.router.forward.fleet.GossipMessage;
import org.knapweedcleat.router.forward.room.EngineFaultNotice;
import org.knapweedcleat.router.forward.room.StreamEndedNotice;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;
import org.knapweedcleat.router.limit.DomainDraw;
import org.knapweedcleat.router.limit.DomainDrawAnswer;

/** The messages between instances and their codes on the wire; a code is never used again. */
public enum PeerMessageType {
  /** Begins a connection. */
  HELLO(1, Hello.class),
  /** Asks something. */
  QUESTION(2, RequestEnvelope.class),
  /** Answers a question. */
  ANSWER(3, ResponseEnvelope.class),
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
  PLACEMENT_PROGRESS(24, PlacementProgress.class),
  /** Tells what the sender still serves. */
  RUNNING_CLAIMS(25, RunningClaims.class),
  /** Tells that the sender lives. */
  HEARTBEAT(40, Heartbeat.class),
  /** Asks to be counted among the owners of shares. */
  LIMIT_JOIN_REQUEST(60, LimitMessage.JoinRequest.class),
  /** Answers a request to be counted. */
  LIMIT_JOIN_ANSWER(61, LimitMessage.JoinAnswer.class),
  /** Asks for a pledge of shares. */
  LIMIT_PLEDGE_REQUEST(62, LimitMessage.PledgeRequest.class),
  /** Pledges shares. */
  LIMIT_PLEDGE(63, LimitMessage.Pledge.class),
  /** Gives pledged shares back. */
  LIMIT_RELEASE(64, LimitMessage.Release.class),
  /** Draws tokens. */
  LIMIT_DRAW(65, LimitMessage.Draw.class),
  /** Answers a draw. */
  LIMIT_DRAW_ANSWER(66, LimitMessage.DrawAnswer.class),
  /** Withdraws a draw. */
  LIMIT_CANCEL_DRAW(67, LimitMessage.CancelDraw.class),
  /** Gives tokens back. */
  LIMIT_REFUND(68, LimitMessage.Refund.class),
  /** Tells that the sender's shares have ended. */
  LIMIT_ENDED(69, LimitMessage.Ended.class),
  /** Draws tokens in another failure domain. */
  DOMAIN_DRAW(70, DomainDraw.class),
  /** Answers a draw of another failure domain. */
  DOMAIN_DRAW_ANSWER(71, DomainDrawAnswer.class),
  /** Brings a call to the incarnation that remembers its outcome. */
  FORWARDED_CALL(80, ForwardedCall.class),
  /** Brings the outcome back. */
  FORWARDED_ANSWER(81, ForwardedAnswer.class),
  /** Tells what a forwarding instance knows and does. */
  FLEET_NEWS(100, GossipMessage.class),
  /** Asks for what is published. */
  DIRECTORY_QUESTION(101, DirectoryRequest.class),
  /** Brings what is published. */
  DIRECTORY_ANSWER(102, DirectoryResponse.class),
  /** Asks the keeper of a region where a stream may run. */
  ROOM_QUESTION(103, StreamPlacementQuery.class),
  /** Says where a stream may run. */
  ROOM_ANSWER(104, StreamPlacementReply.class),
  /** Tells a keeper that a stream has ended. */
  ROOM_ENDED(105, StreamEndedNotice.class),
  /** Tells a keeper that an engine failed a stream. */
  ROOM_FAULT(106, EngineFaultNotice.class);

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
