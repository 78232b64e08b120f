package io.pathdeck.fleet.warmup;

import io.pathdeck.fleet.member.FleetView;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Ways to keep the limit of cold engines, for {@link ColdFleetModel}. */
final class ColdStrategies {
  private static final long WINDOW_MS = 1_000;
  private static final long ZONE_DELAY_MS = 50;
  private static final long GRANT_VALID_MS = 600;

  private ColdStrategies() {}

  /** No limit. */
  static ColdFleetModel.Strategy none(ColdFleetModel model) {
    return new Counting(model) {
      @Override
      boolean allowsCold(int gateway, int engine, long nowMs) {
        return true;
      }
    };
  }

  /** Each gateway may use the same part. */
  static ColdFleetModel.Strategy fixedShares(ColdFleetModel model) {
    return new Counting(model) {
      @Override
      boolean allowsCold(int gateway, int engine, long nowMs) {
        int share = ColdFleetModel.COLD_PER_SECOND / model.gateways;
        return countOwn(gateway, engine, nowMs - WINDOW_MS, nowMs) < share;
      }
    };
  }

  /** A few gateways own each engine; each has a token bucket with a burst of one. */
  static ColdFleetModel.Strategy owners(ColdFleetModel model, int owners) {
    double spacingMs = WINDOW_MS / (ColdFleetModel.COLD_PER_SECOND / (double) owners - 1);
    return new Counting(model) {
      @Override
      boolean allowsCold(int gateway, int engine, long nowMs) {
        return rank(gateway, engine) < owners
            && countOwn(gateway, engine, nowMs - Math.round(spacingMs), nowMs) == 0;
      }

      private int rank(int gateway, int engine) {
        long own = mixed(gateway, engine);
        int rank = 0;
        for (int other = 0; other < model.gateways; other++) {
          rank += mixed(other, engine) > own ? 1 : 0;
        }
        return rank;
      }

      private long mixed(int gateway, int engine) {
        long mixed = (gateway * 0x9E3779B97F4A7C15L) ^ (engine * 0xC2B2AE3D27D4EB4FL);
        mixed = (mixed ^ (mixed >>> 32)) * 0x9E3779B97F4A7C15L;
        return mixed ^ (mixed >>> 29);
      }
    };
  }

  /** The leader grants sends for a short time in its answers to heartbeats. */
  static ColdFleetModel.Strategy grants(ColdFleetModel model) {
    Map<Integer, Deque<Long>> granted = new HashMap<>();
    Map<Long, Deque<Long>> grants = new HashMap<>();
    return new Counting(model) {
      @Override
      public void onAnswer(int gateway, FleetView view, long nowMs) {
        for (int i = 0; i < model.engineCount; i++) {
          int engine = (i + gateway * 7) % model.engineCount;
          Deque<Long> ofEngine = granted.computeIfAbsent(engine, id -> new ArrayDeque<>());
          while (!ofEngine.isEmpty()
              && ofEngine.peekFirst() <= nowMs - WINDOW_MS - GRANT_VALID_MS) {
            ofEngine.pollFirst();
          }
          if (model.isKnownCold(gateway, engine)
              && ofEngine.size() < ColdFleetModel.COLD_PER_SECOND) {
            ofEngine.addLast(nowMs);
            grants.computeIfAbsent(key(gateway, engine), id -> new ArrayDeque<>()).addLast(nowMs);
          }
        }
      }

      @Override
      boolean allowsCold(int gateway, int engine, long nowMs) {
        Deque<Long> own = grants.getOrDefault(key(gateway, engine), new ArrayDeque<>());
        while (!own.isEmpty() && own.peekFirst() <= nowMs - GRANT_VALID_MS) {
          own.pollFirst();
        }
        return !own.isEmpty();
      }

      @Override
      public void onStart(int gateway, int engine, long nowMs) {
        super.onStart(gateway, engine, nowMs);
        Deque<Long> own = grants.get(key(gateway, engine));
        if (own != null) {
          own.pollFirst();
        }
      }
    };
  }

  /** The gateways of each of three zones tell each other what they sent, some time later. */
  static ColdFleetModel.Strategy toldInZone(ColdFleetModel model) {
    return new Counting(model) {
      @Override
      boolean allowsCold(int gateway, int engine, long nowMs) {
        int sent = countOwn(gateway, engine, nowMs - ZONE_DELAY_MS, nowMs);
        for (int peer = gateway % 3; peer < model.gateways; peer += 3) {
          sent += countOwn(peer, engine, nowMs - WINDOW_MS, nowMs - ZONE_DELAY_MS);
        }
        return sent < ColdFleetModel.COLD_PER_SECOND / 3;
      }
    };
  }

  /** The limit of gateways. */
  static ColdFleetModel.Strategy rankedShares(ColdFleetModel model) {
    return new Ranked(model);
  }

  private static final class Ranked implements ColdFleetModel.Strategy {
    private static final long TICK_MS = 100;

    private final ColdFleetModel model;
    private final List<ColdStartBudget> budgets = new ArrayList<>();

    Ranked(ColdFleetModel model) {
      this.model = model;
      for (int i = 0; i < model.gateways; i++) {
        budgets.add(budget(i));
      }
    }

    private ColdStartBudget budget(int gateway) {
      return new ColdStartBudget(
          "g" + gateway, () -> model.isConfirmed(gateway), new ColdStartMetrics());
    }

    @Override
    public void onRestart(int gateway, long nowMs) {
      budgets.set(gateway, budget(gateway));
    }

    @Override
    public void onAnswer(int gateway, FleetView view, long nowMs) {
      if (view != null) {
        budgets.get(gateway).onChange(view, nowMs);
      }
    }

    @Override
    public void onStep(long nowMs) {
      if (nowMs % TICK_MS == 0) {
        budgets.forEach(budget -> budget.onTick(nowMs));
      }
    }

    @Override
    public boolean allows(int gateway, int engine, long nowMs) {
      return budgets.get(gateway).allows(model.instance(engine), nowMs);
    }

    @Override
    public void onStart(int gateway, int engine, long nowMs) {
      budgets.get(gateway).onStart(model.instance(engine), nowMs);
    }
  }

  /** Keeps the sends of each gateway to each engine. */
  private abstract static class Counting implements ColdFleetModel.Strategy {
    private final ColdFleetModel model;
    private final Map<Long, Deque<Long>> sends = new HashMap<>();

    Counting(ColdFleetModel model) {
      this.model = model;
    }

    abstract boolean allowsCold(int gateway, int engine, long nowMs);

    static long key(int gateway, int engine) {
      return ((long) gateway << 32) + engine;
    }

    int countOwn(int gateway, int engine, long afterMs, long untilMs) {
      Deque<Long> own = sends.get(key(gateway, engine));
      if (own == null) {
        return 0;
      }
      int count = 0;
      for (long sent : own) {
        count += sent > afterMs && sent <= untilMs ? 1 : 0;
      }
      return count;
    }

    @Override
    public boolean allows(int gateway, int engine, long nowMs) {
      return !model.isKnownCold(gateway, engine) || allowsCold(gateway, engine, nowMs);
    }

    @Override
    public void onStart(int gateway, int engine, long nowMs) {
      Deque<Long> own = sends.computeIfAbsent(key(gateway, engine), id -> new ArrayDeque<>());
      while (!own.isEmpty() && own.peekFirst() <= nowMs - 2 * WINDOW_MS) {
        own.pollFirst();
      }
      own.addLast(nowMs);
    }
  }
}
