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
import org.knapweedcleat.router.forward.fleet.DirectoryRequest;
import org.knapweedcleat.router.forward.fleet.DirectoryResponse;
import org.knapweedcleat.router.forward.fleet.EligibilityNotice;
import org.knapweedcleat.router.forward.fleet.GossipMessage;
import org.knapweedcleat.router.forward.quarantine.QuarantineNotice;
import org.knapweedcleat.router.forward.room.EngineFaultNotice;
import org.knapweedcleat.router.forward.room.StreamAdmissionNotice;
import org.knapweedcleat.router.forward.room.StreamAdmissionQuery;
import org.knapweedcleat.router.forward.room.StreamAdmissionReply;
import org.knapweedcleat.router.forward.room.StreamEndedNotice;
import org.knapweedcleat.router.forward.room.StreamPlacementQuery;
import org.knapweedcleat.router.forward.room.StreamPlacementReply;
import org.knapweedcleat.router.forward.speed.EngineSpeedNotice;
import org.knapweedcleat.router.forward.throttle.LimitNotice;
import org.knapweedcleat.router.forward.throttle.SendPermitQuery;
import org.knapweedcleat.router.forward.throttle.SendPermitReply;
import org.knapweedcleat.router.limit.DomainDrawRequest;
import org.knapweedcleat.router.limit.DomainDrawResponse;

/** Messages between instances and their wire codes; codes must never be reused. */
public enum PeerMessageType {
  /** Handshake that opens a connection. */
  HELLO(1, Hello.class),
  /** Wraps a request. */
  QUESTION(2, RequestEnvelope.class),
  /** Wraps the response to a request. */
  ANSWER(3, ResponseEnvelope.class),
  /** Requests a part of the document. */
  DOCUMENT_REQUEST(4, DocumentRequest.class),
  /** Contains a part of the document. */
  DOCUMENT_PART(5, DocumentPart.class),
  /** Requests a placement. */
  PLACEMENT_REQUEST(20, PlacementRequest.class),
  /** Assigns endpoints to a split request. */
  PLACEMENT_SPLIT(21, PlacementDecision.Split.class),
  /** Assigns an endpoint to a plain call. */
  PLACEMENT_PLAIN(22, PlacementDecision.Plain.class),
  /** Rejects a placement request. */
  PLACEMENT_REFUSED(23, PlacementDecision.Refused.class),
  /** Reports the progress of a placement. */
  PLACEMENT_PROGRESS(24, PlacementProgress.class),
  /** Lists the requests that the sender is still serving. */
  RUNNING_CLAIMS(25, RunningClaims.class),
  /** Signals that the sender is alive. */
  HEARTBEAT(40, Heartbeat.class),
  /** Requests to be included among the owners of rate limit shares. */
  LIMIT_JOIN_REQUEST(60, LimitMessage.JoinRequest.class),
  /** Responds to a join request. */
  LIMIT_JOIN_ANSWER(61, LimitMessage.JoinAnswer.class),
  /** Requests a pledge of shares. */
  LIMIT_PLEDGE_REQUEST(62, LimitMessage.PledgeRequest.class),
  /** Pledges shares. */
  LIMIT_PLEDGE(63, LimitMessage.Pledge.class),
  /** Returns pledged shares. */
  LIMIT_RELEASE(64, LimitMessage.Release.class),
  /** Requests rate limit tokens. */
  LIMIT_DRAW(65, LimitMessage.Draw.class),
  /** Responds to a draw. */
  LIMIT_DRAW_ANSWER(66, LimitMessage.DrawAnswer.class),
  /** Cancels a draw. */
  LIMIT_CANCEL_DRAW(67, LimitMessage.CancelDraw.class),
  /** Returns unused tokens. */
  LIMIT_REFUND(68, LimitMessage.Refund.class),
  /** Signals that the sender's shares have ended. */
  LIMIT_ENDED(69, LimitMessage.Ended.class),
  /** Requests tokens from another failure domain. */
  DOMAIN_DRAW(70, DomainDrawRequest.class),
  /** Responds to a draw from another failure domain. */
  DOMAIN_DRAW_ANSWER(71, DomainDrawResponse.class),
  /** Forwards a call to the incarnation that records its outcome. */
  FORWARDED_CALL(80, ForwardedCall.class),
  /** Returns the outcome of a forwarded call. */
  FORWARDED_ANSWER(81, ForwardedAnswer.class),
  /** Gossip between forwarding instances. */
  FLEET_NEWS(100, GossipMessage.class),
  /** Requests newer published configuration and endpoints. */
  DIRECTORY_QUESTION(101, DirectoryRequest.class),
  /** Contains newer published configuration and endpoints. */
  DIRECTORY_ANSWER(102, DirectoryResponse.class),
  /** Requests an engine for a stream from a region's capacity coordinator. */
  ROOM_QUESTION(103, StreamPlacementQuery.class),
  /** Returns the engine on which a stream may run. */
  ROOM_ANSWER(104, StreamPlacementReply.class),
  /** Notifies a capacity coordinator that a stream has ended. */
  ROOM_ENDED(105, StreamEndedNotice.class),
  /** Notifies a capacity coordinator that a stream failed on an engine. */
  ROOM_FAULT(106, EngineFaultNotice.class),
  /** Requests a permit to send to an endpoint with a rate limit. */
  PERMIT_QUESTION(107, SendPermitQuery.class),
  /** Grants or denies a permit. */
  PERMIT_ANSWER(108, SendPermitReply.class),
  /** Reports the rate limits that endpoints have announced. */
  LIMIT_NEWS(109, LimitNotice.class),
  /** Reports under which prompts engines were lost. */
  QUARANTINE_NEWS(110, QuarantineNotice.class),
  /** Requests an engine for a stream of a service whose calls are queued by rank. */
  ADMISSION_QUESTION(111, StreamAdmissionQuery.class),
  /** Places, queues or refuses such a stream. */
  ADMISSION_ANSWER(112, StreamAdmissionReply.class),
  /** Notifies the holder of a queued stream of its engine or its refusal. */
  ADMISSION_NOTICE(113, StreamAdmissionNotice.class),
  /** Reports evacuated failure domains and cold endpoints. */
  ELIGIBILITY_NEWS(120, EligibilityNotice.class),
  /** Reports how fast engines are, as observed by the sender. */
  ENGINE_SPEED_NEWS(121, EngineSpeedNotice.class);

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
   * @throws IllegalArgumentException if the message's class is not registered
   */
  public static PeerMessageType of(PeerMessage message) {
    PeerMessageType type = BY_CLASS.get(message.getClass());
    if (type == null) {
      throw new IllegalArgumentException(
          "no message type registered for " + message.getClass().getName());
    }
    return type;
  }

  /**
   * Returns the type with a wire code.
   *
   * @param code the wire code
   * @return the type, or none if the code is unknown
   */
  public static Option<PeerMessageType> ofCode(short code) {
    return Option.of(BY_CODE.get(code));
  }

  /**
   * Returns the wire code.
   *
   * @return the wire code
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
