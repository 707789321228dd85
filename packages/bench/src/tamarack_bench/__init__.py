"""Part of tamarackturn."""
